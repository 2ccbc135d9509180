// Package ticket defines tickets, the numbered configuration changes that
// operators issue. It decides whether a ticket is valid and which state a set of
// tickets merges into.
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

// MaxBytes is the maximum length of a ticket, in bytes. The configuration
// service holds values of up to 1 MB.
const MaxBytes = document.MaxBytes

// Sentinel errors of this package.
const (
	ErrInvalid = errors.ConstError("invalid ticket")
	ErrTooLong = errors.ConstError("ticket is longer than 1 MB")
)

// Version identifies a ticket and orders the writes to an object. The hash
// orders tickets that operators issued with the same number.
type Version struct {
	// Number is the ticket's number, from 1.
	Number uint64
	// Hash is the first 8 bytes of the SHA-256 of the ticket's text.
	Hash uint64
}

// Less reports whether v is ordered before o.
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
	// Draining targets get no new work and finish the work that they have.
	Draining TargetState = "Draining"
)

// Zone is an availability zone.
type Zone struct {
	Name string `yaml:"Name"`
	// InService is false for a zone that operators have taken out of service.
	InService bool `yaml:"InService"`
}

// Service is what callers reach at a set of addresses.
type Service struct {
	Name string `yaml:"Name"`
	// Tenant is the client account that owns the service.
	Tenant string `yaml:"Tenant"`
	// Addresses are unique across all services in force. If two services claim
	// the same address, the one with the higher version gets it.
	Addresses []netip.AddrPort `yaml:"Addresses"`
	// ServiceTime is the approximate time that a warm target takes to serve a
	// request. Agents use it to recognize a cold target until they have learned
	// the time themselves; zero if unknown.
	ServiceTime time.Duration `yaml:"ServiceTime,omitempty"`
}

// Target is an instance of one service in one zone, with an agent beside it.
type Target struct {
	Name string `yaml:"Name"`
	// Service and Zone are names of objects. The target gets no traffic until both
	// exist.
	Service string `yaml:"Service"`
	Zone    string `yaml:"Zone"`
	// Agent is the address of the agent beside the target.
	Agent netip.AddrPort `yaml:"Agent"`
	// Slots is the number of requests that the target runs concurrently, at least
	// 1.
	Slots int `yaml:"Slots"`
	// Connections is the maximum number of flows that the target holds, at least
	// 1.
	Connections int `yaml:"Connections"`
	// State is InService if empty.
	State TargetState `yaml:"State,omitempty"`
}

// Removal names one object that a ticket removes. Exactly one field is set.
type Removal struct {
	Zone    string `yaml:"Zone,omitempty"`
	Service string `yaml:"Service,omitempty"`
	Target  string `yaml:"Target,omitempty"`
}

// Ticket is a configuration change. It carries the complete new value of each
// object that it changes.
type Ticket struct {
	// Number should be unique, and is at least 1.
	Number uint64 `yaml:"Ticket"`
	Reason string `yaml:"Reason"`
	// Complete is set if the ticket carries the whole configuration: objects of
	// lower versions that it does not list are removed.
	Complete bool      `yaml:"Complete"`
	Zones    []Zone    `yaml:"Zones"`
	Services []Service `yaml:"Services"`
	Targets  []Target  `yaml:"Targets"`
	Removed  []Removal `yaml:"Removed"`

	// Version and Text are set by Parse and Read.
	Version Version `yaml:"-"`
	Text    []byte  `yaml:"-"`
}

// textHash returns Version.Hash of a ticket's text.
func textHash(text []byte) uint64 {
	sum := sha256.Sum256(text)

	return binary.BigEndian.Uint64(sum[:8])
}

// ID returns the 64-bit identifier that stands for an object's name in packets.
func ID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))

	return h.Sum64()
}
