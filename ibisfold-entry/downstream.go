package main

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/control"
	"ibisfold.example/core/kernel"
	"ibisfold.example/core/packet"
	"ibisfold.example/core/udp"
)

// downstream receives what other processes send: packets for callers, which it
// forwards, and datagrams of the mesh, which it passes to the control plane.
type downstream struct {
	process *process
}

// Run implements kernel.Runner. It serves until the socket is closed.
func (d *downstream) Run(ctx context.Context) error {
	plane, err := kernel.Find[*control.Plane](&d.process.kernel, control.ServiceName)
	if err != nil {
		return err
	}
	r := d.process.processes.NewReader()
	w := d.process.callers.NewWriter()
	returned := d.process.metrics.NewCounter("ibisfold_packets_returned_total")
	invalid := d.process.metrics.NewCounter(`ibisfold_tunnel_dropped_total{reason="invalid"}`)
	unconfirmed := d.process.metrics.NewCounter(`ibisfold_tunnel_dropped_total{reason="unconfirmed"}`)
	for ctx.Err() == nil {
		n, err := r.Read(time.Time{})
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if udp.Transient(err) {
				d.process.log.Warn("socket error", "error", err)

				continue
			}

			return errors.Annotate(err, "read from the socket of processes")
		}
		confirmed := d.process.snapshot.Load().Relays(d.process.clock())
		for i := range n {
			data, _ := r.Packet(i)
			if !packet.IsTunnel(data) {
				plane.HandleDatagram(data)

				continue
			}
			h := packet.Tunnel{}
			body, err := h.Decode(data, d.process.keys)
			if err != nil || h.Kind != packet.ToEntry {
				invalid.Inc()

				continue
			}
			if !confirmed {
				unconfirmed.Inc()

				continue
			}
			returned.Inc()
			w.Add(append(w.Next(), body...), h.Caller)
		}
		w.Flush()
	}

	return nil
}
