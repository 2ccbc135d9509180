package opaque

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against measured times that are missing from the metrics, or that are recorded
// under the name of another measure.
func TestHistograms(t *testing.T) {
	is := is.New(t)
	p := New("entry-1")
	p.Histograms([]string{"flow_open", "owner_search"})[1].Update(0.02)
	out := bytes.Buffer{}
	p.Metrics.WritePrometheus(&out)
	is.True(strings.Contains(out.String(), "ibisfold_owner_search_seconds_count 1"))
	is.True(!strings.Contains(out.String(), "flow_open"))
}
