package mesh

// Counters count a core's work since its start.
type Counters struct {
	// Merged counts tickets that changed the state.
	Merged uint64
	// InvalidTicket counts tickets that ticket.Parse refused.
	InvalidTicket uint64
	// InvalidHash counts tickets whose text doesn't match the announced version.
	InvalidHash uint64
	// InvalidBody counts compressed tickets that can't be unpacked.
	InvalidBody uint64
	// InvalidWire counts messages that break a limit of wire.go.
	InvalidWire uint64
	// BytesSent and BytesReceived include all headers.
	BytesSent        uint64
	BytesReceived    uint64
	MessagesSent     uint64
	MessagesReceived uint64
	// QueueDropped counts messages that the byte budget kept back for too long.
	QueueDropped uint64
	// Pauses counts gaps between ticks above PauseGap.
	Pauses uint64
	// CutOffs counts how often the core went on without any answer.
	CutOffs uint64
	// Exchanges counts completed digest exchanges, Differences those with
	// different digests, and ExchangeTimeouts those without an answer.
	Exchanges        uint64
	Differences      uint64
	ExchangeTimeouts uint64
	// ChunksRefused counts requests that the byte budget refused.
	ChunksRefused uint64
	// ChunkTimeouts counts chunk requests without an answer.
	ChunkTimeouts  uint64
	ConfigReads    uint64
	ConfigFailures uint64
}
