package peer

import (
	"context"
	"errors"
	"net"
	"sync"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/memory"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/vm"
)

// Default settings of a Mesh.
const (
	defaultQueueLen    = 8192
	defaultIdleTimeout = 120 * clock.Second
	defaultDialTimeout = 500 // milliseconds
	defaultMemory      = 32 << 20

	defaultHelloTimeout = 10 * clock.Second
)

// Handler receives messages and events of the streams. Its methods are called from
// several goroutines and must not block.
type Handler interface {
	// Received handles a message from a peer.
	Received(from string, stamp clock.Timestamp, body vm.PeerBody)
	// Malformed handles a message from a peer that could not be decoded.
	Malformed(from string, err error)
	// Unsent handles a message that provably never left this VM.
	Unsent(to string, body vm.PeerBody)
	// Disconnected handles the end of a stream. Messages sent on it may or may not have
	// arrived.
	Disconnected(peer string)
}

// Mesh holds the streams between this VM and its peers, at most one link for each peer.
type Mesh struct {
	self         string
	incarnation  uint64
	handler      Handler
	clock        clock.Clock
	queueLen     int
	idleTimeout  clock.Millis
	dialTimeout  clock.Millis
	dial         func(string, clock.Millis) (net.Conn, error)
	helloTimeout clock.Millis
	memory       memory.Bound // for messages that are being received

	mu         sync.Mutex
	accepted   map[string]int // open accepted streams, by peer
	links      map[string]*link
	ctx        context.Context // its end closes the dialed streams; it ends with the context of Run
	cancel     context.CancelFunc
	closed     bool           // Run has stopped accepting; no stream is dialed any more
	goroutines sync.WaitGroup // one count per stream goroutine
}

// New returns a Mesh for the VM with the ID self. Its streams are closed at the end of Run.
func New(self string, incarnation uint64, h Handler, opts ...Option) *Mesh {
	m := &Mesh{
		self: self, incarnation: incarnation, handler: h, clock: clock.System{},
		queueLen: defaultQueueLen, idleTimeout: defaultIdleTimeout, helloTimeout: defaultHelloTimeout, dialTimeout: defaultDialTimeout, dial: dialTCP,
		links: make(map[string]*link), accepted: make(map[string]int),
	}
	m.memory.Set(defaultMemory)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Run accepts streams on lis until ctx is cancelled, then waits until all streams are closed.
func (m *Mesh) Run(ctx context.Context, lis net.Listener) error {
	defer context.AfterFunc(ctx, m.cancel)()
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, acceptor{m}); err != nil {
		return wrap("register", KindServe, err)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcmanager.Options{InactivityTimeout: m.helloTimeout.Duration()}})
	err := server.Serve(ctx, memory.Listener{Listener: lis, Bound: &m.memory, Limit: maxHelloBytes})
	m.cancel()
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.goroutines.Wait()
	if err != nil && !errors.Is(err, context.Canceled) {
		return wrap("serve", KindServe, err)
	}
	return nil
}

// Send queues a message for a peer and opens a stream if there is none. The message is
// reported as unsent if the queue is full, or if there is no stream and the address is
// empty, which means that it is not known.
func (m *Mesh) Send(to, address string, stamp clock.Timestamp, body vm.PeerBody) {
	if !m.TrySend(to, address, stamp, body) {
		m.handler.Unsent(to, body)
	}
}

// TrySend is Send for callers that must not be called back: it returns false in place of the
// report that the message is unsent.
func (m *Mesh) TrySend(to, address string, stamp clock.Timestamp, body vm.PeerBody) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[to] == nil && address == "" {
		return false
	}
	return m.link(to, address).enqueue(queuedMsg{stamp: stamp, body: body})
}

// Connect opens a stream to a peer if there is none, so that the first message
// is not delayed by connecting.
func (m *Mesh) Connect(to, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.link(to, address)
}

// link returns the link to a peer. If there is none, it creates one and dials the peer; a
// Mesh that has stopped returns a closed one. The caller holds mu.
func (m *Mesh) link(to, address string) *link {
	l, ok := m.links[to]
	if !ok {
		l = newLink(to, m.queueLen)
		if m.closed {
			l.close()
			return l
		}
		m.links[to] = l
		m.startGoroutine(func() { m.dialLink(m.ctx, l, address) })
	}
	return l
}

// startGoroutine runs f in a goroutine whose end Run waits for. The caller holds mu.
func (m *Mesh) startGoroutine(f func()) { m.goroutines.Go(f) }

// removeLink removes l and reports the messages that are still queued as unsent.
func (m *Mesh) removeLink(l *link) {
	m.mu.Lock()
	if m.links[l.peer] == l {
		delete(m.links, l.peer)
	}
	queued := l.close()
	m.mu.Unlock()
	m.reportUnsent(l.peer, queued)
}

// NumStreams returns the number of peers to which a stream is open or being opened.
func (m *Mesh) NumStreams() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}
