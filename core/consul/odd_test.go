package consul

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against one odd row that makes the whole list of VMs unusable: a port out of range, a
// number too large, a field of another type, or a value that is nested too deeply to decode.
func TestOddRowsOfVMs(t *testing.T) {
	for name, row := range map[string]string{
		"port out of range": `{"ServiceAddress":"10.0.0.9","ServicePort":70000}`,
		"port zero":         `{"ServiceAddress":"10.0.0.9","ServicePort":0}`,
		"negative port":     `{"ServiceAddress":"10.0.0.9","ServicePort":-1}`,
		"number too large":  `{"ServiceAddress":"10.0.0.9","ServicePort":1e400}`,
		"port as text":      `{"ServiceAddress":"10.0.0.9","ServicePort":"7100"}`,
		"zone as list":      `{"ServiceAddress":"10.0.0.9","ServicePort":7100,"ServiceMeta":{"Zone":["a"]}}`,
		"no object":         `7`,
		"null":              `null`,
		"deeply nested":     `{"ServiceAddress":"10.0.0.9","ServicePort":7100,"ServiceMeta":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, `[{"ServiceAddress":"10.0.0.1","ServicePort":7100,"ServiceMeta":{"Zone":"a","Role":"agent"}},`+row+
					` , {"ServiceAddress":"10.0.0.2","ServicePort":7100,"ServiceMeta":{"Zone":"b]\"[","Role":"entry"}}]`)
			}))
			defer s.Close()
			vms, err := (&Client{URL: s.URL}).VMs(context.Background(), "ibisfold")
			is.NoErr(err)
			is.Equal(len(vms), 2)
			is.Equal(vms[0].Addr.String(), "10.0.0.1:7100")
			is.Equal(vms[1].Addr.String(), "10.0.0.2:7100")
		})
	}
}
