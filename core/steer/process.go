package steer

import "time"

// processes identifies the processes of an agent that this entry has heard. Datagrams of a process
// may arrive after those of the next one, which starts after any delay, and nothing tells which of
// two processes is the older one.
type processes struct {
	// current is the process that the entry takes for the running one, last heard at heard; zero
	// if the agent is of an earlier version, which does not tell. former is the one before.
	current uint64
	former  uint64
	heard   time.Duration
}

// processChange says which process of an agent sent a message.
type processChange uint8

const (
	// processUnknown means that the message does not tell its process.
	processUnknown processChange = iota
	// processFirst means that no process was known, processSame that the message is of the current
	// one, processNew that it is of another one, which is the current one now.
	processFirst
	processSame
	processNew
	// processFormer means that the message is of the former process, and probably late.
	processFormer
)

// record notes the process of a message. A former process that is heard while the current one is
// silent becomes the current one: a late message had been taken for that of a new process.
func (p *processes) record(now time.Duration, process uint64) processChange {
	switch {
	case process == 0:
		return processUnknown
	case process == p.current:
		p.heard = now

		return processSame
	case process == p.former && now-p.heard <= maxMessageDelay:
		return processFormer
	}
	change := processNew
	if p.current == 0 {
		change = processFirst
	}
	p.former = p.current
	p.current = process
	p.heard = now

	return change
}
