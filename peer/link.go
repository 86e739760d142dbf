package peer

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/vm"
)

// outgoing is a message that waits for a stream.
type outgoing struct {
	stamp clock.Timestamp
	body  vm.PeerBody
}

// link is the outgoing queue to one peer. Its methods need the lock of the
// Mesh. The queue grows as needed: a VM has a link to nearly every other VM,
// and nearly all of the queues are empty.
type link struct {
	peer   string
	limit  int
	queue  []outgoing
	ready  chan struct{} // holds a token while the queue may have messages
	closed bool
}

func newLink(peer string, limit int) *link {
	return &link{peer: peer, limit: limit, ready: make(chan struct{}, 1)}
}

// push queues a message. It reports false if the queue is full or closed.
func (l *link) push(out outgoing) bool {
	if l.closed || len(l.queue) >= l.limit {
		return false
	}
	l.queue = append(l.queue, out)
	select {
	case l.ready <- struct{}{}:
	default:
	}
	return true
}

// take returns all waiting messages.
func (l *link) take() []outgoing {
	out := l.queue
	l.queue = nil
	return out
}

// close ends the queue and returns the messages that were not taken.
func (l *link) close() []outgoing {
	l.closed = true
	return l.take()
}
