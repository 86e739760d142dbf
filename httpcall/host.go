package httpcall

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/framing"
	"lentillink.example/lentillink/memory"
	"lentillink.example/lentillink/socket"
)

// Defaults of the options.
const (
	defaultMaxConns       = 8
	defaultConnectTimeout = 500 * time.Millisecond
	defaultIdleTimeout    = time.Minute
	defaultMaxReplyBytes  = 8 << 20
)

const (
	userAgent = "lentillink"

	// readBufferBytes is the size of a connection's read buffer, and maxHeadBytes bounds the
	// head of a reply.
	readBufferBytes = 4 << 10
	maxHeadBytes    = 32 << 10
)

// maxStaleAttempts bounds the number of stale connections that one call may try.
const maxStaleAttempts = 64

var errClosed = errors.New("client is closed")

// Host is a client for one host with a pool of connections. It is safe for
// concurrent use.
type Host struct {
	address        string
	maxConns       int
	connectTimeout time.Duration
	idleTimeout    time.Duration
	waitTimeout    time.Duration
	maxReplyBytes  int
	memory         *memory.Bound // for bodies; nil if only maxReplyBytes bounds them

	client      *fasthttp.HostClient // the pool of connections
	openedConns atomic.Int64
	staleConns  atomic.Int64

	mu        sync.Mutex
	conns     map[*conn]struct{}
	dialing   int
	peakConns int
	slotFreed chan struct{} // closed and replaced when a connection slot may be free
	closed    bool
}

// New returns a Host for a host:port address. It opens no connection.
func New(address string, opts ...Option) *Host {
	h := &Host{
		address:        address,
		maxConns:       defaultMaxConns,
		connectTimeout: defaultConnectTimeout,
		idleTimeout:    defaultIdleTimeout,
		maxReplyBytes:  defaultMaxReplyBytes,
		conns:          make(map[*conn]struct{}),
		slotFreed:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(h)
	}
	h.client = &fasthttp.HostClient{
		Addr:                address,
		DialTimeout:         h.dial,
		MaxConns:            h.maxConns,
		MaxIdleConnDuration: h.idleTimeout,
		MaxConnWaitTimeout:  h.waitTimeout,
		// The most recently used connection is the least likely to be closed by the host.
		ConnPoolStrategy: fasthttp.LIFO,
	}
	return h
}

// dialError marks a failure to open a connection.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

func (h *Host) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > h.connectTimeout {
		timeout = h.connectTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := h.reserveSlot(ctx); err != nil {
		return nil, err
	}
	nc, err := socket.Dialer().DialContext(ctx, "tcp", address)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dialing--
	if err != nil {
		h.notifySlotFreed()
		return nil, dialError{err}
	}
	if h.closed {
		_ = nc.Close()
		return nil, errClosed
	}
	c := &conn{Conn: nc, host: h, firstWrite: true}
	c.reader = framing.NewReader(c, readBufferBytes, maxHeadBytes, h.maxReplyBytes, h.memory)
	h.conns[c] = struct{}{}
	h.openedConns.Add(1)
	return c, nil
}

// reserveSlot waits until the number of connections is below the limit. fasthttp
// releases the slot of a broken connection just before it closes it, so without
// this wait one connection above the limit could be open for a moment.
func (h *Host) reserveSlot(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.conns)+h.dialing >= h.maxConns && !h.closed {
		slotFreed := h.slotFreed
		h.mu.Unlock()
		select {
		case <-slotFreed:
		case <-ctx.Done():
		}
		h.mu.Lock()
		if ctx.Err() != nil {
			return fasthttp.ErrNoFreeConns
		}
	}
	if h.closed {
		return errClosed
	}
	h.dialing++
	h.peakConns = max(h.peakConns, len(h.conns)+h.dialing)
	return nil
}

// notifySlotFreed wakes the calls that wait in reserveSlot. The caller holds h.mu.
func (h *Host) notifySlotFreed() {
	close(h.slotFreed)
	h.slotFreed = make(chan struct{})
}

func (h *Host) removeConn(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
	h.notifySlotFreed()
}

// overLimit reports whether more connections are open than allowed. This happens
// when the limit is lowered while they are busy.
func (h *Host) overLimit() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns) > h.maxConns
}

// SetConnectionLimit sets the limit of open connections. If the limit is lowered,
// idle connections are closed at once and busy ones above the limit after their
// exchange. With a limit of 0, no call is sent.
func (h *Host) SetConnectionLimit(n int) {
	h.mu.Lock()
	lowered := n < h.maxConns
	h.maxConns = n
	h.notifySlotFreed()
	h.mu.Unlock()
	if n > 0 {
		h.client.SetMaxConns(n)
	}
	if lowered {
		h.client.CloseIdleConnections()
	}
}

// Close closes all connections. Running calls fail, and later calls fail without
// being sent. A goroutine of fasthttp that closes idle connections ends within one
// idle timeout.
func (h *Host) Close() {
	h.mu.Lock()
	h.closed = true
	h.notifySlotFreed()
	toClose := make([]*conn, 0, len(h.conns))
	for c := range h.conns {
		toClose = append(toClose, c)
	}
	h.mu.Unlock()
	for _, c := range toClose {
		_ = c.Close()
	}
	h.client.CloseIdleConnections()
}
