package mesh

import (
	"net/netip"

	"ibisfold.example/core/ticket"
)

// Limits of wire messages; decoders reject longer lists.
const (
	// MaxPushBytes is the largest compressed ticket that is sent unasked.
	MaxPushBytes = 1024
	// ChunkBytes is the length of all chunks of a ticket but the last.
	ChunkBytes = 1000
	// MaxSample is the number of nodes in one message.
	MaxSample = 4
	// MaxBeats is the number of readers in one message.
	MaxBeats = 3
	// MaxRumours is the number of rumours in one message.
	MaxRumours = 16
	// MaxParts is the number of ranges in one summary.
	MaxParts = 24
	// MaxPending is the number of tickets that are fetched in chunks at a time.
	MaxPending = 4
	// MaxHaveBytes is the length of the set of all chunks of the largest ticket.
	MaxHaveBytes = (MaxBodyBytes/ChunkBytes + 7) / 8
	// MaxIndexes is the number of chunks in one request.
	MaxIndexes = 8
	// MaxItems is the number of versions in one list.
	MaxItems = 16
	// MaxBodyBytes is the largest compressed ticket.
	MaxBodyBytes = ticket.MaxBytes
)

// Status is what both sides of an exchange tell about themselves.
type Status struct {
	// Self leaves out the address: it is the sender's.
	Self  Node
	State ticket.Digest
	// Confirmed is false while the sender can't vouch for its view.
	Confirmed bool
	Sample    []Node
	// Beats are the sender's best readers of its zone, sent within the zone.
	Beats   []Beat
	Rumours []Rumour
}

// Digest opens an exchange.
type Digest struct {
	// Nonce is random; the answer repeats it.
	Nonce  uint64
	Status Status
	// Room is the number of bytes that the sender's budget has left for
	// transfers; what it is sent unasked stays below that.
	Room uint32
	// Sparse asks for more peers, because the sender knows few.
	Sparse bool
	// Pending are the tickets that the sender is fetching in chunks.
	Pending []ticket.Version
}

// DigestAck answers a Digest. Parts is empty if the digests are equal.
type DigestAck struct {
	Nonce  uint64
	Status Status
	Parts  []Part
	// Has are those of the other side's Pending that the sender can serve,
	// at least in part.
	Has []ticket.Version
}

// Beat is a sign of life of a reader, passed on by the nodes of its zone.
type Beat struct {
	Addr        netip.AddrPort
	Incarnation uint64
	// Count increases each second at the reader.
	Count uint64
}

// Part describes the held tickets with From <= version < To.
type Part struct {
	From ticket.Version
	// To is zero for the end of all versions.
	To    ticket.Version
	Count uint32
	Hash  uint64
	// List tells that Items holds all versions of the range.
	List  bool
	Items []ticket.Version
}

// Summary continues the search for differences.
type Summary struct {
	Parts []Part
	// Room is the sender's if it opened the exchange; see Digest.
	Room uint32
}

// Fetch asks for tickets: small ones come as Body, others as Announce.
type Fetch struct {
	Versions []ticket.Version
}

// Announce offers a ticket that is too large for Body.
type Announce struct {
	Version ticket.Version
	// Size is the compressed length in bytes.
	Size uint32
	// Urgent tells that the ticket takes a zone out of service.
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

// ChunkRefused tells that the sender can't serve chunks.
type ChunkRefused struct {
	Version ticket.Version
	Indexes []uint32
	// Gone means that the sender neither holds nor fetches the ticket.
	Gone bool
	// Busy means that its byte budget is used up for now.
	Busy bool
	// Have is as in Announce.
	Have []byte
}

// Rumour is a suspicion of a target's agent, or its refutation. The rumour
// with the higher Incarnation wins, then the one with the higher Change.
type Rumour struct {
	Target      uint64
	Incarnation uint64
	// Change counts the changes of opinion; odd numbers are suspicions.
	Change uint32
	// Age is the time since the change in seconds.
	Age uint32
}

// Rumours spreads rumours ahead of the next exchange.
type Rumours struct {
	Items []Rumour
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
func (Rumours) isWire()      {}
