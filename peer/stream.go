package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/memory"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/vm"
)

// stream is the client or server side of an open drpc stream.
type stream interface {
	Send(*peerpb.Envelope) error
	Recv() (*peerpb.Envelope, error)
}

// flusher is a stream that can buffer messages and write them together.
type flusher interface {
	SetManualFlush(bool)
	RawFlush() error
}

// asFlusher returns the flusher that a generated stream wraps, if there is one.
func asFlusher(s stream) (flusher, bool) {
	g, ok := s.(interface{ GetStream() drpc.Stream })
	if !ok {
		return nil, false
	}
	f, ok := g.GetStream().(flusher)
	return f, ok
}

// acceptor implements the drpc service that peers call to open a stream.
type acceptor struct{ m *Mesh }

// Exchange exchanges hellos with a peer and serves the stream until it ends.
func (a acceptor) Exchange(s peerpb.DRPCPeer_ExchangeStream) error {
	transport, _ := drpcctx.Transport(s.Context())
	conn, ok := transport.(*memory.Conn)
	if !ok {
		return wrap("accept", KindStream, errors.New("connection is not one that Run has accepted"))
	}
	peer, err := a.m.readHello(s, conn)
	if err != nil {
		return err
	}
	if !a.m.admit(peer) {
		return wrap("accept", KindStream, fmt.Errorf("%s has %d streams to this VM already", peer, maxAccepted))
	}
	defer a.m.release(peer)
	conn.Received.SetLimit(0)
	if err := s.Send(a.m.hello()); err != nil {
		return wrap("accept", KindStream, err)
	}
	return a.m.serveStream(s.Context(), peer, s, conn, a.m.addAcceptedLink(peer))
}

// maxAccepted bounds the open streams that one peer has opened. It needs one; those of its
// earlier processes may stay open for some seconds.
const maxAccepted = 4

// admit counts a stream that a peer has opened. It reports false if there are too many.
func (m *Mesh) admit(peer string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accepted[peer] >= maxAccepted {
		return false
	}
	m.accepted[peer]++
	return true
}

// release ends the count of a stream.
func (m *Mesh) release(peer string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accepted[peer]--; m.accepted[peer] == 0 {
		delete(m.accepted, peer)
	}
}

// addAcceptedLink adds and returns the link whose queue is sent on an accepted stream.
// It returns nil if the peer already has a link, which another stream serves.
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
	metered := memory.NewConn(netConn, &m.memory)
	conn := drpcconn.New(metered)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := peerpb.NewDRPCPeerClient(conn).Exchange(ctx)
	if err != nil {
		m.removeLink(l)
		return
	}
	peer, err := m.handshake(s, metered)
	if err != nil || peer != l.peer {
		// Only the hello was sent, so every queued message is reported as unsent.
		m.removeLink(l)
		return
	}
	_ = m.serveStream(ctx, peer, s, metered, l)
}

func (m *Mesh) handshake(s stream, conn *memory.Conn) (string, error) {
	if err := s.Send(m.hello()); err != nil {
		return "", wrap("dial", KindStream, err)
	}
	return m.readHello(s, conn)
}

func (m *Mesh) hello() *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{Vm: m.self, Incarnation: m.incarnation}}}
}

// maxNameBytes bounds the name of a VM. The platform's keys, which hold it, have at most 200 bytes.
const maxNameBytes = 200

// maxHelloBytes bounds what an accepted connection may send before and with its hello. The
// other side sends nothing more until it has the hello of this one.
const maxHelloBytes = 4 << 10

// readHello returns the name in the hello of the other side, which must arrive in time.
func (m *Mesh) readHello(s stream, conn *memory.Conn) (string, error) {
	timeout := time.AfterFunc(m.helloTimeout.Duration(), func() { _ = conn.Close() })
	defer timeout.Stop()
	env, err := s.Recv()
	if err != nil {
		return "", wrap("hello", KindStream, err)
	}
	conn.Received.Reset()
	hello := env.GetHello()
	if n := len(hello.GetVm()); n == 0 || n > maxNameBytes {
		return "", wrap("hello", KindNoHello, errors.New("first envelope is not a hello that names a VM"))
	}
	return hello.GetVm(), nil
}

// serveStream receives from s and sends the queue of l on it, until the stream
// breaks. Then it calls Disconnected exactly once. A nil l sends nothing.
func (m *Mesh) serveStream(ctx context.Context, peer string, s stream, conn *memory.Conn, l *link) error {
	if f, ok := asFlusher(s); ok {
		f.SetManualFlush(true) // before the reading goroutine starts, which reads this setting
	}
	r := &readState{done: make(chan error, 1), active: make(chan struct{}, 1)}
	m.mu.Lock()
	m.startGoroutine(func() { r.done <- m.readLoop(peer, s, conn, r.active) })
	m.mu.Unlock()
	err := m.writeLoop(ctx, s, l, r)
	if l != nil {
		m.removeLink(l)
	}
	m.handler.Disconnected(peer)
	return err
}

// readState connects the goroutine that reads a stream to the one that writes it.
type readState struct {
	done   chan error    // receives the error that ended reading
	active chan struct{} // holds a token if a message arrived
}

func (m *Mesh) readLoop(peer string, s stream, conn *memory.Conn, active chan<- struct{}) error {
	for {
		env, err := s.Recv()
		if err != nil {
			return wrap("receive", KindStream, err)
		}
		conn.Received.Reset()
		select {
		case active <- struct{}{}:
		default:
		}
		body, stamp, err := m.decode(env)
		if err != nil {
			m.handler.Malformed(peer, err) // the messages that follow are separate
			continue
		}
		m.handler.Received(peer, stamp, body)
	}
}

// decode decodes an envelope. A panic is an error.
func (m *Mesh) decode(env *peerpb.Envelope) (body vm.PeerBody, stamp clock.Timestamp, err error) {
	defer func() {
		if v := recover(); v != nil {
			err = wrap("decode", KindDecode, fmt.Errorf("panic: %v", v))
		}
	}()
	return Decode(m.clock.Now(), env)
}

// writeLoop sends queued messages until the stream breaks, the context is cancelled or
// the idle timeout expires.
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

// writeQueue sends the queued messages. After a failure, the message that failed may
// have arrived; those after it never left this VM and are reported as unsent.
func (m *Mesh) writeQueue(s stream, l *link) error {
	m.mu.Lock()
	batch := l.takeAll()
	m.mu.Unlock()
	f, canFlush := asFlusher(s)
	for i, msg := range batch {
		if err := s.Send(Encode(m.clock.Now(), msg.stamp, msg.body)); err != nil {
			m.reportUnsent(l.peer, batch[i+1:])
			return wrap("send", KindStream, err)
		}
		if msg.bytes > 0 {
			m.mu.Lock()
			l.sent(msg)
			m.mu.Unlock()
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
	for _, msg := range msgs {
		m.handler.Unsent(peer, msg.body)
	}
}
