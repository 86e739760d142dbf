package peer

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/vm"
)

// queuedMsg is a message that waits to be sent.
type queuedMsg struct {
	stamp clock.Timestamp
	body  vm.PeerBody
}

// link is the queue of messages to one peer. The lock of the Mesh guards it and
// must be held by callers of its methods. The queue grows on demand: a VM has a
// link to nearly every other VM, and nearly all of the queues are empty.
type link struct {
	peer     string
	maxLen   int
	queue    []queuedMsg
	nonEmpty chan struct{} // holds a token while the queue may have messages
	closed   bool
}

func newLink(peer string, maxLen int) *link {
	return &link{peer: peer, maxLen: maxLen, nonEmpty: make(chan struct{}, 1)}
}

// enqueue adds a message. It returns false if the queue is full or closed.
func (l *link) enqueue(msg queuedMsg) bool {
	if l.closed || len(l.queue) >= l.maxLen {
		return false
	}
	l.queue = append(l.queue, msg)
	select {
	case l.nonEmpty <- struct{}{}:
	default:
	}
	return true
}

// takeAll removes and returns all queued messages.
func (l *link) takeAll() []queuedMsg {
	out := l.queue
	l.queue = nil
	return out
}

// close closes the queue and returns the messages that are still in it.
func (l *link) close() []queuedMsg {
	l.closed = true
	return l.takeAll()
}
