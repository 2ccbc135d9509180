package consul

import (
	"context"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/ticket"
)

// Service is the Consul service under which the processes of the system are listed.
const Service = "ibisfold"

// Source reads tickets and the list of VMs for a process. It implements control.Source.
type Source struct {
	Watcher
}

// NewSource returns a source that reads from the Consul service at a base URL. The keys
// of invalid tickets are read again after each list of keys.
func NewSource(url string) *Source {
	return &Source{
		Watcher: Watcher{
			Client: &Client{
				URL: url,
			},
			Valid: func(text []byte) bool {
				_, err := ticket.Parse(text)

				return err == nil
			},
		},
	}
}

// VMs returns the processes on the VMs of the list. Rows with unknown roles are
// skipped.
func (s *Source) VMs(ctx context.Context) ([]mesh.Node, error) {
	vms, err := s.Client.VMs(ctx, Service)
	if err != nil {
		return nil, err
	}

	nodes := make([]mesh.Node, 0, len(vms))
	for _, v := range vms {
		r, ok := roles[v.Role]
		if !ok {
			continue
		}
		nodes = append(nodes, mesh.Node{
			Addr: v.Addr,
			Zone: v.Zone,
			Role: r,
		})
	}

	return nodes, nil
}

// roles maps the names of roles in the list of VMs to roles.
var roles = map[string]mesh.Role{
	"entry": mesh.RoleEntry,
	"agent": mesh.RoleAgent,
}
