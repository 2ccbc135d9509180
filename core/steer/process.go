package steer

// processes identifies the processes of an agent that this entry has heard. Datagrams of a process
// may arrive after those of the next one, which starts after any delay.
type processes struct {
	// current is the process that was heard last; zero if the agent is of an earlier version,
	// which does not tell. former is the one before.
	current uint64
	former  uint64
}

// change says which process of an agent sent a message.
type change uint8

const (
	// processUnknown means that the message does not tell its process.
	processUnknown change = iota
	// processFirst means that no process was known, processSame that the message is of the current
	// one, processNew that it is of another one, which is the current one now.
	processFirst
	processSame
	processNew
	// processFormer means that the message is of a process that has ended.
	processFormer
)

// record notes the process of a message.
func (p *processes) record(process uint64) change {
	switch {
	case process == 0:
		return processUnknown
	case process == p.current:
		return processSame
	case process == p.former:
		return processFormer
	case p.current == 0:
		p.current = process

		return processFirst
	}
	p.former = p.current
	p.current = process

	return processNew
}
