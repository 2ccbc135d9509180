package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/document"
	"ibisfold.example/core/settings"
)

const base = `Zone: iphofen
Listen: 127.1.1.1:7100
HTTP: 127.1.1.1:9100
Consul: http://127.0.0.1:8500
Seeds: [127.2.2.1:7100, 127.2.3.1:7100]
Keys:
  - ID: 1
    Secret: 5d0c1f7a94b2e86330f1a6c7d8e94b52
  - ID: 2
    Secret: 00112233445566778899001122334455
StopTimeout: 10s
`

const entry = base + "Callers: 127.1.1.1:7000\n"

// Guards against a process that starts with invalid settings, and against errors
// that leak a secret.
func TestParseRefuses(t *testing.T) {
	cases := map[string]struct {
		old   string
		text  string
		line  int
		field string
		code  document.Code
	}{
		"no zone":              {"Zone: iphofen\n", "", 1, "Zone", document.CodeMissing},
		"no Listen":            {"Listen: 127.1.1.1:7100\n", "", 1, "Listen", document.CodeMissing},
		"unspecified Listen":   {"Listen: 127.1.1.1", "Listen: 0.0.0.0", 2, "Listen", document.CodeBadAddress},
		"bad Advertise":        {"HTTP:", "Advertise: 127.2.1.1:0\nHTTP:", 3, "Advertise", document.CodeBadAddress},
		"no Callers":           {"Callers: 127.1.1.1:7000\n", "", 1, "Callers", document.CodeMissing},
		"Callers is Listen":    {"Callers: 127.1.1.1:7000", "Callers: 127.1.1.1:7100", 12, "Callers", document.CodeAddressTaken},
		"HTTP is Listen":       {"HTTP: 127.1.1.1:9100", "HTTP: 127.1.1.1:7100", 3, "HTTP", document.CodeAddressTaken},
		"negative threads":     {"StopTimeout", "Threads: -1\nStopTimeout", 11, "Threads", document.CodeOutOfRange},
		"URL scheme":           {"http://", "ftp://", 4, "Consul", document.CodeBadURL},
		"URL query":            {":8500", ":8500?x=1", 4, "Consul", document.CodeBadURL},
		"no URL":               {"Consul: http://127.0.0.1:8500\n", "", 1, "Consul", document.CodeMissing},
		"seed with port zero":  {"127.2.3.1:7100", "127.2.3.1:0", 5, "Seeds[1]", document.CodeBadAddress},
		"seed listed twice":    {"127.2.3.1:7100", "127.2.2.1:7100", 5, "Seeds[1]", document.CodeDuplicate},
		"key identifier twice": {"ID: 2", "ID: 1", 9, "Keys[1].ID", document.CodeDuplicate},
		"key identifier":       {"ID: 2", "ID: 256", 9, "Keys[1].ID", document.CodeBadKey},
		"short secret":         {"Secret: 5d0c", "Secret: ", 8, "Keys[0].Secret", document.CodeBadKey},
		"not hexadecimal":      {"Secret: 5d0c", "Secret: xxxx", 8, "Keys[0].Secret", document.CodeBadKey},
		"negative timeout":     {"10s", "-1s", 11, "StopTimeout", document.CodeOutOfRange},
		"timeout without unit": {"10s", "10", 11, "StopTimeout", document.CodeWrongType},
		"field of an agent":    {"StopTimeout", "Name: a\nStopTimeout", 11, "Name", document.CodeUnknownField},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(entry, c.old))
			err := settings.Parse([]byte(strings.Replace(entry, c.old, c.text, 1)), &settings.Entry{})
			is.True(errors.Is(err, settings.ErrInvalid))
			p := document.Problems(err)
			is.Equal(len(p), 1)
			is.Equal(p[0].Line, c.line)
			is.Equal(p[0].Field, c.field)
			is.Equal(p[0].Code, c.code)
			is.True(!strings.Contains(err.Error(), "5d0c")) // errors must not contain secrets
		})
	}
}

// Guards against missing defaults, and against settings that are decoded into a
// type other than Entry or Agent.
func TestParseDefaults(t *testing.T) {
	is := is.New(t)
	e := settings.Entry{}
	is.NoErr(settings.Parse([]byte(entry), &e))
	is.Equal(e.Advertise, e.Listen)
	is.Equal(e.Threads, 1)
	is.Equal(len(e.Keys), 2)
	is.NoErr(settings.Parse([]byte(base+"Name: a\nTarget: 127.1.1.1:7200\n"), &settings.Agent{}))
	is.True(errors.Is(settings.Parse([]byte(entry), &struct{ Zone string }{}), settings.ErrType))
}
