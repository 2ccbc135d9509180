package demo

import (
	"context"
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
)

// footprint is the resource use of a process since its start, according to its metrics.
type footprint struct {
	name string
	// seconds is the age of the process.
	seconds float64
	// cpu is the processor time in seconds, memory the resident set in bytes.
	cpu    float64
	memory float64
	// controlOut and controlIn are the bytes of the control plane, with all headers.
	controlOut float64
	controlIn  float64
	// packets counts the packets of callers at an entry, or the requests at an agent.
	packets float64
}

var footprintHeader = []string{
	"Process", "Seconds", "CPUPercentOfCore", "ResidentMB", "ControlBytesPerSecond", "PacketsOrRequests", "CPUMicrosecondsEach",
}

// writeFootprints writes the footprints of all running processes to a CSV file. It leaves out
// processes whose metrics can't be read.
func (r *run) writeFootprints(ctx context.Context, path string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Trace(err)
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()

	w := csv.NewWriter(f)
	rows := [][]string{footprintHeader}
	for _, p := range r.processes.running() {
		if t, ok := measureFootprint(ctx, p); ok {
			rows = append(rows, t.row())
		}
	}

	return errors.Trace(w.WriteAll(rows))
}

// measureFootprint reads the footprint of a process, or returns false if its metrics can't be
// read.
func measureFootprint(ctx context.Context, p *process) (footprint, bool) {
	m, err := get(ctx, p.vm, "/metrics")
	if err != nil {
		return footprint{}, false
	}
	defer m.Body.Close()

	v := parseMetrics(m.Body)
	t := footprint{
		name:       p.vm.name,
		seconds:    time.Since(p.started).Seconds(),
		cpu:        v["process_cpu_seconds_total"],
		memory:     v["process_resident_memory_bytes"],
		controlOut: v[`ibisfold_control_bytes_total{direction="out"}`],
		controlIn:  v[`ibisfold_control_bytes_total{direction="in"}`],
		packets:    v["ibisfold_packets_forwarded_total"],
	}
	if !strings.HasPrefix(t.name, "entry") {
		t.packets = v[`ibisfold_requests_total{event="received"}`]
	}

	return t, true
}

// row returns the columns of footprintHeader.
func (t footprint) row() []string {
	each := 0.0
	if t.packets > 0 {
		each = t.cpu * 1e6 / t.packets
	}

	return []string{
		t.name,
		fmt.Sprintf("%.0f", t.seconds),
		fmt.Sprintf("%.2f", 100*t.cpu/t.seconds),
		fmt.Sprintf("%.1f", t.memory/(1<<20)),
		fmt.Sprintf("%.0f", (t.controlOut+t.controlIn)/t.seconds),
		fmt.Sprintf("%.0f", t.packets),
		fmt.Sprintf("%.0f", each),
	}
}
