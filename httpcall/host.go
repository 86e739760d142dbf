package httpcall

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/socket"
)

// Defaults of the options.
const (
	defaultConnections    = 8
	defaultConnectTimeout = 500 * time.Millisecond
	defaultIdleTimeout    = time.Minute
	defaultReplyBytes     = 8 << 20
)

// staleAttempts bounds how many kept connections one call may find stale.
const staleAttempts = 64

var errClosed = errors.New("client is closed")

// Host holds the connections to one host. It is safe for concurrent use.
type Host struct {
	address        string
	connections    int
	connectTimeout time.Duration
	idleTimeout    time.Duration
	waitTimeout    time.Duration
	replyBytes     int

	client *fasthttp.HostClient
	opened atomic.Int64
	stale  atomic.Int64

	mu      sync.Mutex
	open    map[*conn]struct{}
	dialing int
	peak    int
	freed   chan struct{} // closed and replaced when a place becomes free
	closed  bool
}

// New returns a Host for a host:port address. It opens no connection.
func New(address string, opts ...Option) *Host {
	h := &Host{
		address:        address,
		connections:    defaultConnections,
		connectTimeout: defaultConnectTimeout,
		idleTimeout:    defaultIdleTimeout,
		replyBytes:     defaultReplyBytes,
		open:           make(map[*conn]struct{}),
		freed:          make(chan struct{}),
	}
	for _, opt := range opts {
		opt(h)
	}
	h.client = &fasthttp.HostClient{
		Addr:                      address,
		Name:                      "lentillink",
		DialTimeout:               h.dial,
		MaxConns:                  h.connections,
		MaxIdleConnDuration:       h.idleTimeout,
		MaxConnWaitTimeout:        h.waitTimeout,
		MaxIdemponentCallAttempts: staleAttempts,
		RetryIfErr:                retryStale,
		StreamResponseBody:        true, // keeps the connection until its reply is checked
		DisablePathNormalizing:    true,
		// The most recently used connection is the least likely to be closed by the host.
		ConnPoolStrategy: fasthttp.LIFO,
	}
	return h
}

// retryStale lets fasthttp take another connection only if nothing was written.
func retryStale(_ *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
	return false, errors.Is(err, errStale)
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
	if err := h.reserve(ctx); err != nil {
		return nil, err
	}
	nc, err := socket.Dialer().DialContext(ctx, "tcp", address)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dialing--
	if err != nil {
		h.free()
		return nil, dialError{err}
	}
	if h.closed {
		_ = nc.Close()
		return nil, errClosed
	}
	c := &conn{Conn: nc, host: h, kept: true}
	h.open[c] = struct{}{}
	h.opened.Add(1)
	return c, nil
}

// reserve waits for a place below the bound. fasthttp frees the place of a
// broken connection just before it closes it, so without this wait one
// connection too many could be open for a moment.
func (h *Host) reserve(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.open)+h.dialing >= h.connections && !h.closed {
		freed := h.freed
		h.mu.Unlock()
		select {
		case <-freed:
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
	h.peak = max(h.peak, len(h.open)+h.dialing)
	return nil
}

// free wakes the calls that wait for a place. The caller holds h.mu.
func (h *Host) free() {
	close(h.freed)
	h.freed = make(chan struct{})
}

func (h *Host) forget(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, c)
	h.free()
}

// excess reports whether more connections are open than allowed, which
// happens when the bound shrinks while they are busy.
func (h *Host) excess() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.open) > h.connections
}

// SetConnectionLimit changes the bound of open connections. Idle connections are
// closed when the bound shrinks; busy ones finish their exchange first. With 0
// no call is sent.
func (h *Host) SetConnectionLimit(n int) {
	h.mu.Lock()
	shrinks := n < h.connections
	h.connections = n
	h.free()
	h.mu.Unlock()
	if n > 0 {
		h.client.SetMaxConns(n)
	}
	if shrinks {
		h.client.CloseIdleConnections()
	}
}

// Close closes all connections; running calls fail and later ones are refused.
// A goroutine of fasthttp that cleans up idle connections ends by itself
// within one idle timeout.
func (h *Host) Close() {
	h.mu.Lock()
	h.closed = true
	h.free()
	conns := make([]*conn, 0, len(h.open))
	for c := range h.open {
		conns = append(conns, c)
	}
	h.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	h.client.CloseIdleConnections()
}
