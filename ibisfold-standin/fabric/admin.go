package fabric

import (
	"encoding/json"
	"net/http"
	"time"
)

// AdminHandler returns the HTTP handler that sets faults. PUT /admin/rules replaces the rules by
// those of the body, a JSON list of objects with the fields From, To, OneWay, Loss, DelayMs and
// JitterMs.
func (f *Fabric) AdminHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /admin/rules", f.serveRules)

	return m
}

func (f *Fabric) serveRules(w http.ResponseWriter, r *http.Request) {
	const maxBytes = 1 << 20

	body := []struct {
		From     string
		To       string
		OneWay   bool
		Loss     float64
		DelayMs  int64
		JitterMs int64
	}{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}

	rules := make([]Rule, 0, len(body))
	for _, b := range body {
		rules = append(rules, Rule{
			From:   b.From,
			To:     b.To,
			OneWay: b.OneWay,
			Loss:   b.Loss,
			Delay:  time.Duration(b.DelayMs) * time.Millisecond,
			Jitter: time.Duration(b.JitterMs) * time.Millisecond,
		})
	}
	f.Path.SetRules(rules)
}
