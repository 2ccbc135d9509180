package consul

import (
	"context"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/ticket"
)

// Service is the name under which the list of VMs holds the system's processes.
const Service = "ibisfold"

// Source reads tickets and VMs for a process's control thread.
type Source struct {
	Watcher
}

// NewSource returns a source that reads from the service at a base URL.
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

// VMs returns the processes on the listed VMs. Rows of unknown roles are left out.
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

var roles = map[string]mesh.Role{
	"entry": mesh.RoleEntry,
	"agent": mesh.RoleAgent,
}
