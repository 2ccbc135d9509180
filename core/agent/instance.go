package agent

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"ibisfold.example/core/wire"
)

// peerInstance identifies one start of an agent.
type peerInstance struct {
	agent       netip.AddrPort
	target      uint64
	zone        uint64
	incarnation uint64
}

func (q *peer) peerInstance() peerInstance {
	return peerInstance{
		agent:       q.Agent,
		target:      q.Target,
		zone:        q.Zone,
		incarnation: q.incarnation,
	}
}

// Field numbers of an encoded peerInstance.
const (
	instanceAgent       protowire.Number = 1
	instanceTarget      protowire.Number = 2
	instanceZone        protowire.Number = 3
	instanceIncarnation protowire.Number = 4
)

func appendInstance(b []byte, n protowire.Number, r peerInstance) []byte {
	m := appendAddress(nil, instanceAgent, r.agent)
	m = wire.AppendFixed(m, instanceTarget, r.target)
	m = wire.AppendFixed(m, instanceZone, r.zone)
	m = wire.AppendFixed(m, instanceIncarnation, r.incarnation)
	b = protowire.AppendTag(b, n, protowire.BytesType)

	return protowire.AppendBytes(b, m)
}

func decodeInstance(b []byte) (peerInstance, error) {
	r := peerInstance{}
	err := eachField(b, func(f field) error {
		var err error

		switch f.Number {
		case instanceAgent:
			r.agent, err = decodeAddress(f.Bytes)
		case instanceTarget:
			r.target = f.Value
		case instanceZone:
			r.zone = f.Value
		case instanceIncarnation:
			r.incarnation = f.Value
		}

		return err
	})

	return r, err
}
