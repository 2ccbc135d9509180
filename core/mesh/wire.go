package mesh

import (
	"net/netip"

	"ibisfold.example/core/ticket"
)

// Limits of wire messages; decoders reject longer lists.
const (
	// MaxPushBytes is the largest compressed ticket that is sent whole; larger
	// ones are announced and fetched in chunks.
	MaxPushBytes = 1024
	// ChunkBytes is the length of each chunk of a ticket except the last.
	ChunkBytes = 1000
	// MaxSample bounds the nodes in one message.
	MaxSample = 4
	// MaxHeartbeats bounds the heartbeats in one message.
	MaxHeartbeats = 3
	// MaxSuspicions bounds the suspicions in one message.
	MaxSuspicions = 16
	// MaxRanges bounds the ranges in one summary.
	MaxRanges = 24
	// MaxPending bounds the tickets that are fetched in chunks at a time.
	MaxPending = 4
	// MaxHaveBytes is the length of the set of chunks of the largest ticket.
	MaxHaveBytes = (MaxBodyBytes/ChunkBytes + 7) / 8
	// MaxIndexes bounds the chunks in one request.
	MaxIndexes = 8
	// MaxItems bounds the versions in one list.
	MaxItems = 16
	// MaxBodyBytes is the largest compressed ticket.
	MaxBodyBytes = ticket.MaxBytes
)

// Status is what both sides of an exchange report about themselves.
type Status struct {
	// Self is sent without its address, which is the message's sender.
	Self  Node
	State ticket.Digest
	// Confirmed is false while the sender's view is unconfirmed, or confirmed
	// only by the sender itself.
	Confirmed bool
	// Sample are some of the sender's peers.
	Sample []Node
	// Heartbeats are those of the best candidates that the sender knows in its
	// zone. They are sent within the zone.
	Heartbeats []Heartbeat
	Suspicions []Suspicion
}

// Digest opens an exchange.
type Digest struct {
	// Nonce is random; the answer repeats it.
	Nonce  uint64
	Status Status
	// AvailableBytes is what the sender's budget has left for transfers; what
	// it is sent unrequested stays below that.
	AvailableBytes uint32
	// WantPeers asks for more peers, because the sender knows few.
	WantPeers bool
	// Pending are the tickets that the sender is fetching in chunks.
	Pending []ticket.Version
}

// DigestAck answers a Digest. Ranges is empty if the digests are equal, if a
// side lacks the budget to look for differences, or if open transfers explain
// them.
type DigestAck struct {
	Nonce  uint64
	Status Status
	Ranges []Range
	// Has are those of the other side's Pending that the sender can serve,
	// at least in part.
	Has []ticket.Version
}

// Heartbeat says that a reader or candidate is alive. The nodes of its zone pass it
// on.
type Heartbeat struct {
	Addr        netip.AddrPort
	Incarnation uint64
	// Count increases each second at the node that sent the heartbeat.
	Count uint64
}

// Range describes the held tickets with From <= version < To.
type Range struct {
	From ticket.Version
	// To is zero for the end of all versions.
	To ticket.Version
	// Count is the number of versions, Hash the XOR of their hashes.
	Count uint32
	Hash  uint64
	// List is set if Items holds all versions of the range.
	List  bool
	Items []ticket.Version
}

// Summary continues the search for differences after a DigestAck.
type Summary struct {
	Ranges []Range
	// AvailableBytes has the same meaning as in Digest.
	AvailableBytes uint32
}

// Fetch asks for tickets. Small ones come as Body, others as Announce.
type Fetch struct {
	Versions []ticket.Version
}

// Announce offers a ticket that is too large for Body.
type Announce struct {
	Version ticket.Version
	// Size is the compressed length in bytes.
	Size uint32
	// Urgent is set if the ticket takes a zone out of service.
	Urgent bool
	// Have is the set of chunks that the sender holds, one bit each; it is
	// empty if it holds all.
	Have []byte
}

// Body carries a whole compressed ticket.
type Body struct {
	Version ticket.Version
	Data    []byte
}

// ChunkRequest asks for chunks of a ticket.
type ChunkRequest struct {
	Version ticket.Version
	Indexes []uint32
}

// Chunk carries one chunk of a compressed ticket.
type Chunk struct {
	Version ticket.Version
	Index   uint32
	// Size is the compressed length of the whole ticket in bytes.
	Size uint32
	Data []byte
	// Have is as in Announce; it is left out for tickets of many chunks.
	Have []byte
}

// ChunkRefused lists requested chunks that the sender doesn't serve.
type ChunkRefused struct {
	Version ticket.Version
	Indexes []uint32
	// Gone means that the sender neither holds nor fetches the ticket.
	Gone bool
	// Busy means that the sender's byte budget is used up for now.
	Busy bool
	// Have is as in Announce.
	Have []byte
}

// Suspicion says whether a target's agent is suspected. A suspicion is raised by
// an agent that gets no answer, and withdrawn by one that gets an answer. The
// one with the higher Incarnation wins, then the one with the higher Change.
type Suspicion struct {
	Target      uint64
	Incarnation uint64
	// Change counts how often the suspicion was raised or withdrawn; it is
	// raised if Change is odd.
	Change uint32
	// Age is the time since the last change in seconds.
	Age uint32
}

// Suspicions carries suspicions ahead of the next exchange.
type Suspicions struct {
	Items []Suspicion
}

func (Digest) isWire()       {}
func (DigestAck) isWire()    {}
func (Summary) isWire()      {}
func (Fetch) isWire()        {}
func (Announce) isWire()     {}
func (Body) isWire()         {}
func (ChunkRequest) isWire() {}
func (Chunk) isWire()        {}
func (ChunkRefused) isWire() {}
func (Suspicions) isWire()   {}
