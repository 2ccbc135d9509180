package agent

import (
	"math"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"ibisfold.example/core/admission"
	"ibisfold.example/core/wire"
)

// Load is what an agent tells the others of its group about its target.
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
	loadUsual       protowire.Number = 10
)

const (
	// loadBytesMax is the longest accepted encoding, loadCountMax the largest count.
	loadBytesMax = 256
	loadCountMax = 1 << 30
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
	b = wire.AppendVarint(b, loadUsual, uint64(l.Usual.Microseconds()))

	return wire.AppendVarint(b, loadDraining, protowire.EncodeBool(l.Draining))
}

// DecodeLoad reads an encoded load. Unknown fields are skipped. Error: ErrBody.
func DecodeLoad(b []byte) (Load, error) {
	l := Load{}
	if len(b) > loadBytesMax {
		return l, ErrBody
	}

	err := eachField(b, func(f field) error {
		return setLoad(&l, f)
	})
	if err == nil && (math.IsNaN(l.Busy) || l.Busy < 0 || l.Busy > loadCountMax) {
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
	if n := counts[f.number]; n != nil {
		if f.value > loadCountMax {
			return ErrBody
		}
		*n = int(f.value)
		return nil
	}

	switch f.number {
	case loadTarget:
		l.Target = f.value
	case loadIncarnation:
		l.Incarnation = f.value
	case loadBusy:
		l.Busy = math.Float64frombits(f.value)
	case loadDraining:
		l.Draining = f.value != 0
	case loadUsual:
		if f.value > loadCountMax {
			return ErrBody
		}
		l.Usual = time.Duration(f.value) * time.Microsecond
	}

	return nil
}

// field is one field of a message. Fields of bytes set bytes, others value.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

// eachField calls set for each field of b. Field bytes alias b.
func eachField(b []byte, set func(field) error) error {
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return ErrBody
		}
		b = b[size:]
		f := field{
			number: n,
		}
		switch t {
		case protowire.VarintType:
			f.value, size = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			f.value, size = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			f.bytes, size = protowire.ConsumeBytes(b)
		default:
			return ErrBody
		}
		if size < 0 {
			return ErrBody
		}
		if err := set(f); err != nil {
			return err
		}
		b = b[size:]
	}

	return nil
}
