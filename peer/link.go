package peer

import (
	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/vm"
)

// maxQueuedUpdateBytes bounds the updates of the catalog that wait to be sent to one peer: their
// values come from the store. A peer that misses one reads the store itself.
const maxQueuedUpdateBytes = 4 << 20

// queuedMsg is a message that waits to be sent.
type queuedMsg struct {
	stamp clock.Timestamp
	body  vm.PeerBody
	bytes int // of an update
}

// updateBytes returns the size of a message if it is an update of the catalog, else 0.
func updateBytes(body vm.PeerBody) int {
	switch b := body.(type) {
	case compressedUpdate:
		return len(b.update.GetCompressed())
	case catalog.Update:
		return b.Bytes()
	}
	return 0
}

// link is the queue of messages to one peer. The lock of the Mesh guards it and
// must be held by callers of its methods. The queue grows on demand: a VM has a
// link to nearly every other VM, and nearly all of the queues are empty.
type link struct {
	peer     string
	maxLen   int
	queue    []queuedMsg
	bytes    int           // of the updates that are not sent yet
	nonEmpty chan struct{} // holds a token while the queue may have messages
	closed   bool
}

func newLink(peer string, maxLen int) *link {
	return &link{peer: peer, maxLen: maxLen, nonEmpty: make(chan struct{}, 1)}
}

// enqueue adds a message. It returns false if the queue is full or closed.
func (l *link) enqueue(msg queuedMsg) bool {
	msg.bytes = updateBytes(msg.body)
	if l.closed || len(l.queue) >= l.maxLen || l.bytes > 0 && l.bytes+msg.bytes > maxQueuedUpdateBytes && msg.bytes > 0 {
		return false
	}
	l.bytes += msg.bytes
	l.queue = append(l.queue, msg)
	select {
	case l.nonEmpty <- struct{}{}:
	default:
	}
	return true
}

// sent records that a message has left this VM.
func (l *link) sent(msg queuedMsg) { l.bytes -= msg.bytes }

// takeAll removes and returns all queued messages. Their updates count until they are sent.
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
