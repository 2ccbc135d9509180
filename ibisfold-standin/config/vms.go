package config

import (
	"net/netip"
	"sync"
	"time"
)

// VM is an entry or an agent in the list of VMs.
type VM struct {
	Addr netip.AddrPort
	Zone string
	// Role is "entry" or "agent".
	Role string
}

// Row is a VM in the JSON form of the catalog API.
type Row struct {
	ServiceAddress string
	ServicePort    uint16
	ServiceMeta    Meta
}

// Meta is the metadata of a Row.
type Meta struct {
	Zone string
	Role string
}

// vmChange records that a VM joined or left.
type vmChange struct {
	at     time.Time
	vm     VM
	joined bool
}

// VMs is the platform's list of VMs. It may lag behind and be wrong, like the real one. The zero
// value is empty and has no lag.
type VMs struct {
	// Lag is the time until readers see a change.
	Lag time.Duration
	// Now is the clock; by default time.Now.
	Now func() time.Time

	mu      sync.Mutex
	changes []vmChange
	// pinned VMs stay on the list after they left, and hidden ones are missing from it.
	pinned map[netip.AddrPort]bool
	hidden map[netip.AddrPort]bool
}

// Join adds a VM.
func (v *VMs) Join(vm VM) {
	v.change(vm, true)
}

// Leave removes a VM.
func (v *VMs) Leave(vm VM) {
	v.change(vm, false)
}

// Pin makes a VM stay on the list after it leaves.
func (v *VMs) Pin(a netip.AddrPort) {
	v.mu.Lock()
	defer v.mu.Unlock()

	if v.pinned == nil {
		v.pinned = map[netip.AddrPort]bool{}
	}
	v.pinned[a] = true
}

// Hide makes a VM missing from the list although it has joined.
func (v *VMs) Hide(a netip.AddrPort) {
	v.mu.Lock()
	defer v.mu.Unlock()

	if v.hidden == nil {
		v.hidden = map[netip.AddrPort]bool{}
	}
	v.hidden[a] = true
}

func (v *VMs) now() time.Time {
	if v.Now == nil {
		return time.Now()
	}

	return v.Now()
}

func (v *VMs) change(vm VM, joined bool) {
	v.mu.Lock()
	defer v.mu.Unlock()

	v.changes = append(v.changes, vmChange{
		at:     v.now(),
		vm:     vm,
		joined: joined,
	})
}

// List returns the rows of a service that readers see now.
func (v *VMs) List(service string) []Row {
	v.mu.Lock()
	defer v.mu.Unlock()

	rows := []Row{}
	if service != "ibisfold" {
		return rows
	}
	seen := map[netip.AddrPort]bool{}
	for i := len(v.changes) - 1; i >= 0; i-- {
		c := v.changes[i]
		if v.now().Sub(c.at) < v.Lag || seen[c.vm.Addr] {
			continue
		}
		seen[c.vm.Addr] = true
		if v.hidden[c.vm.Addr] || (!c.joined && !v.pinned[c.vm.Addr]) {
			continue
		}
		rows = append(rows, rowOf(c.vm))
	}

	return rows
}

func rowOf(vm VM) Row {
	return Row{
		ServiceAddress: vm.Addr.Addr().String(),
		ServicePort:    vm.Addr.Port(),
		ServiceMeta: Meta{
			Zone: vm.Zone,
			Role: vm.Role,
		},
	}
}
