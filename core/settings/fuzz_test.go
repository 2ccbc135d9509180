package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"ibisfold.example/core/document"
	"ibisfold.example/core/settings"
)

// Guards against settings that make the decoder panic, allocate without bound or
// fail without a reason. Run `go test -fuzz=FuzzParse ./core/settings` to search
// for further inputs.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("../../examples/*/settings/*.yaml")
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	for _, s := range []string{"", "Zone:", "Keys: [{ID: 1}]", "Seeds: [[[[", "a: &b *b", "\xff", "Listen: {", "? a", "--- a\n--- b", "...", "---\n...\na: b"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, v := range []any{&settings.Entry{}, &settings.Agent{}} {
			err := settings.Parse(b, v)
			if err == nil {
				continue
			}
			if !errors.Is(err, settings.ErrInvalid) && !errors.Is(err, settings.ErrTooLong) {
				t.Fatalf("unexpected kind of error: %v", err)
			}
			for _, p := range document.Problems(err) {
				if p.Line < 1 || p.Reason == "" || p.Code == "" {
					t.Fatalf("incomplete problem: %+v", p)
				}
			}
		}
	})
}
