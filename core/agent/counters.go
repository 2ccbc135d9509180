package agent

// Counters count events since the start of the agent.
type Counters struct {
	// FlowsOpened, FlowsPassed, FlowsRefused, FlowsExpired and FlowsClosed count
	// what became of flows here.
	FlowsOpened  uint64
	FlowsPassed  uint64
	FlowsRefused uint64
	FlowsExpired uint64
	FlowsClosed  uint64
	// FlowsGivenUp counts flows reset because the zone was taken out of service.
	FlowsGivenUp uint64
	// FlowsCut counts flows reset because a shutdown reached its bound.
	FlowsCut uint64
	// FlowsHandedOver and FlowsAdopted count handovers to and from peers.
	FlowsHandedOver uint64
	FlowsAdopted    uint64
	// HandoversAborted counts handovers that no peer accepted.
	HandoversAborted uint64
	// Resets counts packets of flows that this agent does not own.
	Resets uint64
	// Requests counts first copies, Duplicates repeated ones.
	Requests   uint64
	Duplicates uint64
	// Passed counts requests passed to the target, Answered whole answers.
	Passed   uint64
	Answered uint64
	// NotRun, OutcomeUnknown and Cancelled count the other final answers.
	NotRun         uint64
	OutcomeUnknown uint64
	Cancelled      uint64
	// OffersSent, OffersRefused and OffersLost count requests moved to peers.
	OffersSent    uint64
	OffersRefused uint64
	OffersLost    uint64
	// OffersTaken counts requests accepted from peers.
	OffersTaken uint64
	// Shed counts refusals by the target, Retries requests placed again.
	Shed    uint64
	Retries uint64
	// LateAnswers counts answers that match no request in progress.
	LateAnswers uint64
	// TargetRestarts counts new boot identities and refused packets.
	TargetRestarts uint64
	// Held and HeldRefused count packets that met an unconfirmed view.
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
