package peer

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/vm"
)

// outgoing is a message that waits for a stream.
type outgoing struct {
	stamp clock.Stamp
	body  vm.PeerBody
}

// link is the outgoing queue to one peer. Its methods need the lock of the Mesh.
type link struct {
	peer   string
	queue  chan outgoing
	closed bool
}

func newLink(peer string, n int) *link { return &link{peer: peer, queue: make(chan outgoing, n)} }

// push queues a message. It reports false if the queue is full or closed.
func (l *link) push(out outgoing) bool {
	if l.closed {
		return false
	}
	select {
	case l.queue <- out:
		return true
	default:
		return false
	}
}

// close ends the queue and returns the messages that were not taken.
func (l *link) close() []outgoing {
	if l.closed {
		return nil
	}
	l.closed = true
	close(l.queue)
	var rest []outgoing
	for out := range l.queue {
		rest = append(rest, out)
	}
	return rest
}
