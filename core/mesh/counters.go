package mesh

// Counters count a core's work since its start.
type Counters struct {
	// Merged counts tickets that changed the state.
	Merged uint64
	// InvalidTicket counts tickets that can't be parsed.
	InvalidTicket uint64
	// InvalidHash counts tickets whose text doesn't match the announced version.
	InvalidHash uint64
	// InvalidBody counts compressed tickets that can't be decompressed.
	InvalidBody uint64
	// InvalidWire counts messages that break a limit of wire.go.
	InvalidWire uint64
	// BytesSent and BytesReceived include all headers.
	BytesSent        uint64
	BytesReceived    uint64
	MessagesSent     uint64
	MessagesReceived uint64
	// QueueDropped counts messages that waited too long for the byte budget, or
	// found the queue full.
	QueueDropped uint64
	// Pauses counts gaps between ticks of more than MaxTickGap.
	Pauses uint64
	// CutOffs counts how often the core was cut off and began to confirm its
	// view by itself; see CutOffTimeout.
	CutOffs uint64
	// Exchanges counts completed digest exchanges, Differences those with
	// different digests, and ExchangeTimeouts those without an answer.
	Exchanges        uint64
	Differences      uint64
	ExchangeTimeouts uint64
	// ChunksRefused counts requested chunks that the core did not serve,
	// because it lacked the byte budget or the chunk.
	ChunksRefused uint64
	// ChunkTimeouts counts requested chunks that did not arrive in time.
	ChunkTimeouts  uint64
	ConfigReads    uint64
	ConfigFailures uint64
}
