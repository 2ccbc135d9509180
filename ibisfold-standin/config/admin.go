package config

import (
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// ErrUnknownAction means that an admin request names no known action.
const ErrUnknownAction = errors.ConstError("unknown admin action")

// admin runs the action of an admin request; see serveAdmin.
func (s *Server) admin(w http.ResponseWriter, r *http.Request) error {
	q := r.URL.Query()
	key := q.Get("key")
	on := q.Get("on") != "false"

	switch r.PathValue("action") {
	case "publish":
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes+1))
		if err != nil {
			return errors.Trace(err)
		}

		return s.Store.Publish(key, b)
	case "truncate":
		n, err := strconv.Atoi(q.Get("bytes"))
		if err != nil || n < 0 {
			return errors.New("bytes must be a number from 0")
		}

		return s.Store.Truncate(key, n)
	case "rollback":
		return s.Store.RollBack(key)
	case "down":
		s.Store.SetDown(on)
	case "stale":
		s.Store.SetStale(on)
	default:
		return ErrUnknownAction
	}

	return nil
}
