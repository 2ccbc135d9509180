package agent

// Counters counts events since the agent started.
type Counters struct {
	// FlowsOpened counts flows opened here, FlowsPassed Open packets forwarded to
	// peers, FlowsRefused refused Open packets, FlowsExpired flows that expired
	// or were evicted, and FlowsClosed flows closed by their callers.
	FlowsOpened  uint64
	FlowsPassed  uint64
	FlowsRefused uint64
	FlowsExpired uint64
	FlowsClosed  uint64
	// FlowsGivenUp counts flows reset because the zone was taken out of service.
	FlowsGivenUp uint64
	// FlowsCut counts flows reset because a shutdown reached StopTimeout.
	FlowsCut uint64
	// FlowsHandedOver and FlowsAdopted count handovers to and from peers.
	FlowsHandedOver uint64
	FlowsAdopted    uint64
	// HandoversAborted counts handovers that the peer refused or did not
	// acknowledge.
	HandoversAborted uint64
	// Resets counts resets sent for packets of flows that this agent does not
	// own.
	Resets uint64
	// Requests counts first copies of callers' requests, Duplicates further
	// copies of requests and offers.
	Requests   uint64
	Duplicates uint64
	// Passed counts requests passed to the target, Answered requests with a
	// complete answer.
	Passed   uint64
	Answered uint64
	// NotRun, OutcomeUnknown and Cancelled count the other final answers.
	NotRun         uint64
	OutcomeUnknown uint64
	Cancelled      uint64
	// OffersSent counts requests offered to peers, OffersRefused offers that the
	// peer did not run, and OffersLost offers without a known outcome.
	OffersSent    uint64
	OffersRefused uint64
	OffersLost    uint64
	// OffersTaken counts requests accepted from peers.
	OffersTaken uint64
	// Shed counts requests that the target shed, Retries requests placed again
	// after a shed or after a run that may have been lost.
	Shed    uint64
	Retries uint64
	// LateAnswers counts answers that match no request in progress.
	LateAnswers uint64
	// TargetRestarts counts changes of the target's boot identity, and refusals
	// of a packet by its address while it was up.
	TargetRestarts uint64
	// Held counts packets held while the view was unconfirmed, HeldRefused
	// packets that were not held or were held too long.
	Held        uint64
	HeldRefused uint64
	// DroppedFence, DroppedToken, DroppedKind, DroppedBody and DroppedNumber
	// count dropped packets by reason.
	DroppedFence  uint64
	DroppedToken  uint64
	DroppedKind   uint64
	DroppedBody   uint64
	DroppedNumber uint64
}
