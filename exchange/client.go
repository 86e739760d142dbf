package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"lentillink.example/lentillink/clock"
)

// Defaults of the options.
const (
	// defaultConnectTimeout is longer than one lost opening packet on the users'
	// links, and shorter than what patient work can spare.
	defaultConnectTimeout = clock.Second

	// defaultMaxReplyBytes bounds the memory that one reply takes.
	defaultMaxReplyBytes = 4 << 20

	// defaultIdleTimeoutMs is how long a kept connection is used again if the upstream
	// does not state its idle timeout, which is then below a second.
	defaultIdleTimeoutMs clock.Millis = 700

	// idleMarginMs is kept from a stated idle timeout, so that a request does
	// not cross the upstream's close.
	idleMarginMs clock.Millis = 700

	// closeIdleAfterMs is the age from which an idle connection is closed, and reapEveryMs how
	// often that is looked at. Upstreams bound the connections of all VMs together,
	// and a VM that was a carrier once must not hold them for good.
	closeIdleAfterMs = 8 * clock.Second
	idleCheckMs      = clock.Second

	// nonIdempotentIdleMs is how long a kept connection may have been idle to carry a
	// request that must not repeat.
	nonIdempotentIdleMs clock.Millis = 400
)

// Call is one request to one upstream.
type Call struct {
	Attempt       uint64
	Upstream      string
	Address       string
	Request       *Request
	RemainingMs   clock.Millis
	NonIdempotent bool // must not repeat: use a connection that is surely open
	NeedHeader    bool // the reply's headers are needed
}

// Result reports the end of a call: a Reply, or an Error.
type Result struct {
	Attempt uint64
	Reply   Reply
	Err     *Error
}

// Client holds the connections to all upstreams.
type Client struct {
	headers        Headers
	report         func(Result)
	connectTimeout clock.Millis
	maxReplyBytes  int
	clock          clock.Clock

	ctx        context.Context // of the opening of connections
	cancel     context.CancelFunc
	exits      chan struct{} // one for each goroutine that has ended; their errors are results
	mu         sync.Mutex
	goroutines int
	upstreams  map[string]*upstreamConns
	calls      map[uint64]*pendingCall
}

// upstreamConns holds the connections to one upstream.
type upstreamConns struct {
	id        string
	address   string
	idle      []*conn // least recently used first
	openConns int
}

// pendingCall is a call that has not ended.
type pendingCall struct {
	call    Call
	conn    *conn
	cancel  context.CancelFunc // ends the opening of a connection
	sent    bool
	written bool // the whole request is written
}

// New returns a client that reports results through report, from any goroutine.
func New(report func(Result), opts ...Option) *Client {
	c := &Client{
		report: report, connectTimeout: defaultConnectTimeout, maxReplyBytes: defaultMaxReplyBytes, clock: clock.NewMonotonic(),
		exits: make(chan struct{}, 64), upstreams: make(map[string]*upstreamConns), calls: make(map[uint64]*pendingCall),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run waits until ctx ends, then closes every connection and waits for their goroutines.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckMs.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-c.exits:
			c.goroutineEnded()
		case <-ticker.C:
			c.closeExpired(c.clock.Now())
		case <-ctx.Done():
			c.cancel() // a connection that is being opened would hold up the end
			c.closeAll()
			for c.runningGoroutines() > 0 {
				<-c.exits
				c.goroutineEnded()
			}
			return nil
		}
	}
}

func (c *Client) goroutineEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.goroutines--
}

func (c *Client) runningGoroutines() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.goroutines
}

func (c *Client) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.calls {
		p.abort()
	}
	for _, u := range c.upstreams {
		u.closeIdle()
	}
}

// closeExpired closes connections that have been idle for long.
func (c *Client) closeExpired(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.upstreams {
		kept := u.idle[:0]
		for _, cn := range u.idle {
			if now-cn.lastUsedAt < min(closeIdleAfterMs, cn.maxIdleMs) {
				kept = append(kept, cn)
				continue
			}
			_ = cn.nc.Close()
		}
		clear(u.idle[len(kept):])
		u.idle = kept
	}
}

// startGoroutine runs f in a goroutine whose end Run reads. The caller holds c.mu.
func (c *Client) startGoroutine(f func()) {
	c.goroutines++
	go func() {
		f()
		c.exits <- struct{}{}
	}()
}

func (c *Client) connsOf(upstream, address string) *upstreamConns {
	u := c.upstreams[upstream]
	if u == nil {
		u = &upstreamConns{id: upstream, address: address}
		c.upstreams[upstream] = u
	}
	return u
}

// Send starts a call. Its result is reported later.
func (c *Client) Send(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.connsOf(call.Upstream, call.Address)
	p := &pendingCall{call: call}
	c.calls[call.Attempt] = p
	if cn := u.takeIdle(c.clock.Now(), call.NonIdempotent); cn != nil {
		p.conn = cn
		cn.pending = p
		c.write(cn, p)
		return
	}
	c.dial(u, p)
}

// Connect opens a connection to an upstream if there is none.
func (c *Client) Connect(upstream, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u := c.connsOf(upstream, address); u.openConns == 0 {
		c.dial(u, nil)
	}
}

// Cancel ends a call without a result. Its connection is closed, which tells
// the upstream to stop.
func (c *Client) Cancel(attempt uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.calls[attempt]; p != nil {
		delete(c.calls, attempt)
		p.abort()
	}
}

func (p *pendingCall) abort() {
	if p.cancel != nil {
		p.cancel()
	}
	if p.conn != nil {
		_ = p.conn.nc.Close()
	}
}

// CloseIdle closes the idle connections to an upstream that is gone.
func (c *Client) CloseIdle(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u := c.upstreams[upstream]; u != nil {
		u.closeIdle()
		delete(c.upstreams, upstream)
	}
}

// takeIdle removes the most recently used connection that is still good from the
// idle ones. Older ones are closed.
func (u *upstreamConns) takeIdle(now clock.Millis, nonIdempotent bool) *conn {
	for len(u.idle) > 0 {
		cn := u.idle[len(u.idle)-1]
		u.idle = u.idle[:len(u.idle)-1]
		if cn.usable(now, nonIdempotent) {
			return cn
		}
		_ = cn.nc.Close()
	}
	return nil
}

func (u *upstreamConns) closeIdle() {
	for _, cn := range u.idle {
		_ = cn.nc.Close()
	}
	u.idle = nil
}

func (u *upstreamConns) removeIdle(cn *conn) {
	for i, o := range u.idle {
		if o == cn {
			u.idle = append(u.idle[:i], u.idle[i+1:]...)
			return
		}
	}
}

// dial opens a connection, and sends j on it unless j is nil. The caller holds c.mu.
func (c *Client) dial(u *upstreamConns, p *pendingCall) {
	ctx, cancel := context.WithTimeout(c.ctx, c.connectTimeout.Duration())
	if p != nil {
		p.cancel = cancel
	}
	u.openConns++
	c.startGoroutine(func() {
		defer cancel()
		nc, err := dialer.DialContext(ctx, "tcp", u.address)
		c.finishDial(u, p, nc, err)
	})
}

func (c *Client) finishDial(u *upstreamConns, p *pendingCall, nc net.Conn, err error) {
	c.mu.Lock()
	if err != nil {
		u.openConns--
		c.mu.Unlock()
		if p != nil {
			c.finish(p, Result{Attempt: p.call.Attempt, Err: &Error{op: "dial", kind: KindDial, err: err}})
		}
		return
	}
	cn := &conn{client: c, conns: u, nc: nc, maxIdleMs: defaultIdleTimeoutMs, lastUsedAt: c.clock.Now()}
	stillPending := p != nil && c.calls[p.call.Attempt] == p
	if stillPending {
		p.conn, p.cancel = cn, nil
		cn.pending = p
		c.write(cn, p)
	} else {
		u.idle = append(u.idle, cn)
	}
	c.startGoroutine(cn.read)
	c.mu.Unlock()
}

// maxInlineBytes is the size up to which a request is written by the caller's own
// goroutine: the socket takes it whole, because only one request is open on it.
const maxInlineBytes = 8 << 10

// writeTimeout bounds the writing of a large body.
const writeTimeout = 10 * time.Second

// write sends the request of j. The caller holds c.mu.
func (c *Client) write(cn *conn, p *pendingCall) {
	b := p.call.Request.appendTo(nil, c.headers, p.call.Upstream, p.call.RemainingMs)
	p.sent = true
	if len(b) <= maxInlineBytes {
		n, err := cn.nc.Write(b)
		c.finishWrite(cn, p, n, err)
		return
	}
	_ = cn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.startGoroutine(func() {
		n, err := cn.nc.Write(b)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.finishWrite(cn, p, n, err)
	})
}

// finishWrite notes the end of a write. A failed one closes the connection, and the
// reader reports it. The caller holds c.mu.
func (c *Client) finishWrite(cn *conn, p *pendingCall, n int, err error) {
	if err == nil {
		p.written = true
		return
	}
	if n == 0 {
		p.sent = false
	}
	_ = cn.nc.Close()
}

// finish reports the result of a job once, unless it was cancelled.
func (c *Client) finish(p *pendingCall, r Result) {
	c.mu.Lock()
	pending := c.calls[p.call.Attempt] == p
	if pending {
		delete(c.calls, p.call.Attempt)
	}
	c.mu.Unlock()
	if pending {
		c.report(r)
	}
}
