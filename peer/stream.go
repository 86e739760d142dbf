package peer

import (
	"context"
	"errors"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"lentillink.example/lentillink/peer/peerpb"
)

// stream is one open exchange, seen from either side.
type stream interface {
	Send(*peerpb.Envelope) error
	Recv() (*peerpb.Envelope, error)
}

// flusher is a stream that can collect messages before it writes them.
type flusher interface {
	SetManualFlush(bool)
	RawFlush() error
}

// asFlusher returns the flusher behind a generated stream.
func asFlusher(s stream) (flusher, bool) {
	g, ok := s.(interface{ GetStream() drpc.Stream })
	if !ok {
		return nil, false
	}
	f, ok := g.GetStream().(flusher)
	return f, ok
}

// acceptor serves the streams that peers open.
type acceptor struct{ m *Mesh }

// Exchange answers the hello of a peer and serves the stream until it ends.
func (a acceptor) Exchange(s peerpb.DRPCPeer_ExchangeStream) error {
	peer, err := a.m.readHello(s)
	if err != nil {
		return err
	}
	if err := s.Send(a.m.hello()); err != nil {
		return wrap("accept", KindStream, err)
	}
	return a.m.serveStream(s.Context(), peer, s, a.m.addAcceptedLink(peer))
}

// addAcceptedLink returns the link that the accepted stream should write for, or nil if
// another stream already writes to that peer.
func (m *Mesh) addAcceptedLink(peer string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.links[peer]; ok {
		return nil
	}
	l := newLink(peer, m.queueLen)
	m.links[peer] = l
	return l
}

// dialLink opens a stream for l and serves it until it ends.
func (m *Mesh) dialLink(ctx context.Context, l *link, address string) {
	netConn, err := m.dial(address, m.dialTimeout)
	if err != nil {
		m.removeLink(l)
		return
	}
	conn := drpcconn.New(netConn)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := peerpb.NewDRPCPeerClient(conn).Exchange(ctx)
	if err != nil {
		m.removeLink(l)
		return
	}
	peer, err := m.handshake(s)
	if err != nil || peer != l.peer {
		// Nothing but the hello was sent, so every queued message is unsent.
		m.removeLink(l)
		return
	}
	_ = m.serveStream(ctx, peer, s, l)
}

func (m *Mesh) handshake(s stream) (string, error) {
	if err := s.Send(m.hello()); err != nil {
		return "", wrap("dial", KindStream, err)
	}
	return m.readHello(s)
}

func (m *Mesh) hello() *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{Vm: m.self, Incarnation: m.incarnation}}}
}

func (m *Mesh) readHello(s stream) (string, error) {
	env, err := s.Recv()
	if err != nil {
		return "", wrap("hello", KindStream, err)
	}
	hello := env.GetHello()
	if hello.GetVm() == "" {
		return "", wrap("hello", KindNoHello, errors.New("first envelope names no VM"))
	}
	return hello.GetVm(), nil
}

// serveStream reads s until it breaks, and writes the queue of l to it. It
// reports Down exactly once for the stream.
func (m *Mesh) serveStream(ctx context.Context, peer string, s stream, l *link) error {
	if f, ok := asFlusher(s); ok {
		f.SetManualFlush(true) // before the reader starts, which looks at it
	}
	r := &readState{done: make(chan error, 1), active: make(chan struct{}, 1)}
	m.mu.Lock()
	m.startGoroutine(func() { r.done <- m.readLoop(peer, s, r.active) })
	m.mu.Unlock()
	err := m.writeLoop(ctx, s, l, r)
	if l != nil {
		m.removeLink(l)
	}
	m.handler.Disconnected(peer)
	return err
}

// readState is the receiving half of a stream, seen from its writer.
type readState struct {
	done   chan error    // receives the reason when reading ends
	active chan struct{} // holds a token if something arrived
}

func (m *Mesh) readLoop(peer string, s stream, active chan<- struct{}) error {
	for {
		env, err := s.Recv()
		if err != nil {
			return wrap("receive", KindStream, err)
		}
		select {
		case active <- struct{}{}:
		default:
		}
		body, stamp, err := Decode(m.clock.Now(), env)
		if err != nil {
			return err
		}
		m.handler.Received(peer, stamp, body)
	}
}

// writeLoop returns when the stream breaks, the context ends or the stream is idle.
func (m *Mesh) writeLoop(ctx context.Context, s stream, l *link, r *readState) error {
	var ready chan struct{}
	if l != nil {
		ready = l.nonEmpty
	}
	idle := time.NewTimer(m.idleTimeout.Duration())
	defer idle.Stop()
	for {
		select {
		case err := <-r.done:
			return err
		case <-r.active:
			idle.Reset(m.idleTimeout.Duration())
		case <-ctx.Done():
			return ctx.Err()
		case <-idle.C:
			return nil
		case <-ready:
			if err := m.writeQueue(s, l); err != nil {
				return err
			}
			idle.Reset(m.idleTimeout.Duration())
		}
	}
}

// writeQueue sends the messages that wait. After a failure the message that
// failed may have arrived; those after it never left and are reported as unsent.
func (m *Mesh) writeQueue(s stream, l *link) error {
	m.mu.Lock()
	batch := l.takeAll()
	m.mu.Unlock()
	f, canFlush := asFlusher(s)
	for i, out := range batch {
		if err := s.Send(Encode(m.clock.Now(), out.stamp, out.body)); err != nil {
			m.reportUnsent(l.peer, batch[i+1:])
			return wrap("send", KindStream, err)
		}
	}
	if !canFlush {
		return nil
	}
	if err := f.RawFlush(); err != nil {
		return wrap("flush", KindStream, err)
	}
	return nil
}

func (m *Mesh) reportUnsent(peer string, msgs []queuedMsg) {
	for _, out := range msgs {
		m.handler.Unsent(peer, out.body)
	}
}
