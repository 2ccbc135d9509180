package agent

import (
	"math"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"ibisfold.example/core/admission"
	"ibisfold.example/core/wire"
)

// Load is the load report that an agent sends to the other agents of its group.
type Load = admission.Load

// ErrBody is returned for the malformed body of a message between agents.
const ErrBody = errors.ConstError("malformed body")

// Field numbers of an encoded Load.
const (
	loadTarget      protowire.Number = 1
	loadIncarnation protowire.Number = 2
	loadBusy        protowire.Number = 3
	loadRunning     protowire.Number = 4
	loadWaiting     protowire.Number = 5
	loadSlots       protowire.Number = 6
	loadLimit       protowire.Number = 7
	loadFlows       protowire.Number = 8
	loadDraining    protowire.Number = 9
	loadServiceTime protowire.Number = 10
)

const (
	// maxLoadBytes is the longest accepted encoding, maxLoadCount the largest
	// accepted count.
	maxLoadBytes = 256
	maxLoadCount = 1 << 30
)

// AppendLoad appends the encoded load to b.
func AppendLoad(b []byte, l Load) []byte {
	b = wire.AppendFixed(b, loadTarget, l.Target)
	b = wire.AppendFixed(b, loadIncarnation, l.Incarnation)
	b = wire.AppendFixed(b, loadBusy, math.Float64bits(l.Busy))
	b = wire.AppendVarint(b, loadRunning, uint64(l.Running))
	b = wire.AppendVarint(b, loadWaiting, uint64(l.Waiting))
	b = wire.AppendVarint(b, loadSlots, uint64(l.Slots))
	b = wire.AppendVarint(b, loadLimit, uint64(l.Limit))
	b = wire.AppendVarint(b, loadFlows, uint64(l.Flows))
	b = wire.AppendVarint(b, loadServiceTime, uint64(l.ServiceTime.Microseconds()))

	return wire.AppendVarint(b, loadDraining, protowire.EncodeBool(l.Draining))
}

// DecodeLoad decodes a load. Unknown fields are skipped. It returns ErrBody if
// b is malformed.
func DecodeLoad(b []byte) (Load, error) {
	l := Load{}
	if len(b) > maxLoadBytes {
		return l, ErrBody
	}

	err := eachField(b, func(f field) error {
		return setLoad(&l, f)
	})
	if err == nil && (math.IsNaN(l.Busy) || l.Busy < 0 || l.Busy > maxLoadCount) {
		err = ErrBody
	}
	if err != nil {
		return Load{}, err
	}

	return l, nil
}

func setLoad(l *Load, f field) error {
	counts := map[protowire.Number]*int{
		loadRunning: &l.Running,
		loadWaiting: &l.Waiting,
		loadSlots:   &l.Slots,
		loadLimit:   &l.Limit,
		loadFlows:   &l.Flows,
	}
	if n := counts[f.Number]; n != nil {
		if f.Value > maxLoadCount {
			return ErrBody
		}
		*n = int(f.Value)
		return nil
	}

	switch f.Number {
	case loadTarget:
		l.Target = f.Value
	case loadIncarnation:
		l.Incarnation = f.Value
	case loadBusy:
		l.Busy = math.Float64frombits(f.Value)
	case loadDraining:
		l.Draining = f.Value != 0
	case loadServiceTime:
		if f.Value > maxLoadCount {
			return ErrBody
		}
		l.ServiceTime = time.Duration(f.Value) * time.Microsecond
	}

	return nil
}

// field is a field of a message: see wire.Field.
type field = wire.Field

// eachField calls set for each field of b. It returns ErrBody for a field that
// is neither a varint nor a 64-bit number nor bytes. Field bytes alias b.
func eachField(b []byte, set func(field) error) error {
	return wire.Fields(b, ErrBody, func(f field) error {
		switch f.Kind {
		case protowire.VarintType, protowire.Fixed64Type, protowire.BytesType:
			return set(f)
		default:
			return ErrBody
		}
	})
}
