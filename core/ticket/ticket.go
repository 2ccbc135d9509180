// Package ticket holds numbered configuration tickets and the state that they
// merge into.
package ticket

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/document"
)

// MaxBytes is the largest ticket, in bytes: the configuration service holds
// values up to 1 MB.
const MaxBytes = document.MaxBytes

// Sentinel errors of this package.
const (
	ErrInvalid = errors.ConstError("invalid ticket")
	ErrTooLong = errors.ConstError("ticket is longer than 1 MB")
)

// Version orders the writes to one object. The hash orders two tickets that
// operators issued with the same number.
type Version struct {
	// Number is the ticket's number, from 1.
	Number uint64
	// Hash is the first 8 bytes of the SHA-256 of the ticket's text.
	Hash uint64
}

// Less reports whether v comes before o.
func (v Version) Less(o Version) bool {
	if v.Number != o.Number {
		return v.Number < o.Number
	}

	return v.Hash < o.Hash
}

// TargetState says whether a target takes new work.
type TargetState string

// States of a target.
const (
	// InService is the default.
	InService TargetState = "InService"
	// Draining means that the target gets no new work and finishes what it has.
	Draining TargetState = "Draining"
)

// Zone is an availability zone.
type Zone struct {
	Name string `yaml:"Name"`
	// InService is false for a zone that operators have taken out.
	InService bool `yaml:"InService"`
}

// Service is what callers reach at its addresses.
type Service struct {
	Name string `yaml:"Name"`
	// Tenant owns the service.
	Tenant string `yaml:"Tenant"`
	// Addresses are unique over all services in force; at a clash the service
	// with the higher version keeps the address.
	Addresses []netip.AddrPort `yaml:"Addresses"`
	// ServiceTime is about how long a warm target takes for a request. Agents
	// that know no better tell a cold target from a warm one by it; zero means
	// that they have to learn it.
	ServiceTime time.Duration `yaml:"ServiceTime,omitempty"`
}

// Target serves one service from one zone, with an agent beside it.
type Target struct {
	Name string `yaml:"Name"`
	// Service and Zone name objects; the target gets no traffic until both exist.
	Service string `yaml:"Service"`
	Zone    string `yaml:"Zone"`
	// Agent is the address of the agent beside the target.
	Agent netip.AddrPort `yaml:"Agent"`
	// Slots is the number of requests that the target runs at a time, from 1.
	Slots int `yaml:"Slots"`
	// Connections is the number of flows that the target holds, from 1.
	Connections int `yaml:"Connections"`
	// State is empty for InService.
	State TargetState `yaml:"State,omitempty"`
}

// Removal names one object that a ticket removes. One field is set.
type Removal struct {
	Zone    string `yaml:"Zone,omitempty"`
	Service string `yaml:"Service,omitempty"`
	Target  string `yaml:"Target,omitempty"`
}

// Ticket carries the whole new state of all objects that it touches.
type Ticket struct {
	// Number is unique and above 0.
	Number uint64 `yaml:"Ticket"`
	Reason string `yaml:"Reason"`
	// Complete tickets carry the whole state: what they do not list and has a
	// lower number is removed.
	Complete bool      `yaml:"Complete"`
	Zones    []Zone    `yaml:"Zones"`
	Services []Service `yaml:"Services"`
	Targets  []Target  `yaml:"Targets"`
	Removed  []Removal `yaml:"Removed"`

	// Version and Text are set by Parse.
	Version Version `yaml:"-"`
	Text    []byte  `yaml:"-"`
}

func textHash(text []byte) uint64 {
	sum := sha256.Sum256(text)

	return binary.BigEndian.Uint64(sum[:8])
}

// ID returns the 64-bit identity of an object's name, as packets carry it.
func ID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))

	return h.Sum64()
}
