package ticket_test

import (
	"errors"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"ibisfold.example/core/document"
	"ibisfold.example/core/ticket"
)

// Guards against tickets that make the decoder panic, allocate more than
// document.MaxAllocation or fail without a reason, or that one node accepts and
// another refuses. Run `go test -fuzz=FuzzParse ./core/ticket` to search for
// further inputs.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("../../examples/*/tickets/*.yaml")
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	for _, s := range []string{base, "", "Ticket:", "Ticket: 1\nZones: [{}]", "Zones: [[[[", "a: &b *b", "\xff", "{", "? a", "--- a\n--- b", "...", "---\n...\na: b"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var before, after runtime.MemStats

		runtime.ReadMemStats(&before)
		p, err := ticket.Parse(b)
		runtime.ReadMemStats(&after)
		if n := after.TotalAlloc - before.TotalAlloc; n > document.MaxAllocation {
			t.Fatalf("%d bytes allocated", n)
		}
		if err != nil {
			checkError(t, err)

			return
		}
		again, err := ticket.Parse(p.Text)
		if err != nil || again.Version != p.Version {
			t.Fatalf("second decoding differs: %v", err)
		}
		s := ticket.State{}
		s.Merge(p)
		if s.Merge(again) {
			t.Fatal("the same ticket changed the state twice")
		}
	})
}

func checkError(t *testing.T, err error) {
	if !errors.Is(err, ticket.ErrInvalid) && !errors.Is(err, ticket.ErrTooLong) {
		t.Fatalf("unexpected kind of error: %v", err)
	}
	for _, p := range document.Problems(err) {
		if p.Line < 1 || p.Reason == "" || p.Code == "" {
			t.Fatalf("incomplete problem: %+v", p)
		}
	}
}
