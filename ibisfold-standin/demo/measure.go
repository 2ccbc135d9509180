package demo

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// pollInterval is the time between two reads of the metrics of a process, and between
	// two checks of the number of open flows.
	pollInterval = 50 * time.Millisecond
	// pollTimeout bounds each HTTP call to a process.
	pollTimeout = time.Second
	ticketGauge = "ibisfold_ticket"
)

var client = &http.Client{
	Timeout: pollTimeout,
}

// healthy reports whether the health check of a process succeeds.
func healthy(ctx context.Context, v *vm) bool {
	r, err := get(ctx, v, "/healthz")
	if err != nil {
		return false
	}
	defer r.Body.Close()

	return r.StatusCode == http.StatusOK
}

// ticketAt returns the number of the ticket in force at a process, or false if it can't be
// read.
func ticketAt(ctx context.Context, v *vm) (uint64, bool) {
	r, err := get(ctx, v, "/metrics")
	if err != nil {
		return 0, false
	}
	defer r.Body.Close()

	return parseGauge(r.Body, ticketGauge)
}

// get calls an HTTP path of a process.
func get(ctx context.Context, v *vm, path string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.process.HTTP.String()+path, nil)
	if err != nil {
		return nil, err
	}

	return client.Do(r)
}

// parseGauge reads the value of one gauge from metrics in the text format. Labels of the gauge
// are ignored.
func parseGauge(r io.Reader, name string) (uint64, bool) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		rest, ok := strings.CutPrefix(s.Text(), name)
		if !ok || rest == "" || (rest[0] != ' ' && rest[0] != '{') {
			continue
		}
		f, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)

		return uint64(f), err == nil
	}

	return 0, false
}

// parseMetrics reads metrics in the text format. The keys are names with labels.
func parseMetrics(r io.Reader) map[string]float64 {
	m := map[string]float64{}
	s := bufio.NewScanner(r)
	for s.Scan() {
		i := strings.LastIndexByte(s.Text(), ' ')
		if i < 0 {
			continue
		}
		if f, err := strconv.ParseFloat(s.Text()[i+1:], 64); err == nil {
			m[s.Text()[:i]] = f
		}
	}

	return m
}

// waitForTicket waits until a ticket is in force at all running processes, for at most limit
// after published. It returns the longest time that a process took, since published or since
// its own later start, and the names of the processes at which the ticket is not in force.
func waitForTicket(ctx context.Context, p *processes, number uint64, published time.Time, limit time.Duration) (time.Duration, []string) {
	longest := time.Duration(0)
	inForce := map[*process]bool{}
	for {
		missing := []string{}
		for _, r := range p.running() {
			if inForce[r] {
				continue
			}
			if n, ok := ticketAt(ctx, r.vm); !ok || n < number {
				missing = append(missing, r.vm.name)
				continue
			}
			inForce[r] = true
			longest = max(longest, time.Since(later(published, r.started)))
		}
		if len(missing) == 0 || time.Since(published) > limit || ctx.Err() != nil {
			return longest, missing
		}
		time.Sleep(pollInterval)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
