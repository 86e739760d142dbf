package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/memory"
	"lentillink.example/lentillink/socket"
)

// Defaults of the options, and idle times of connections.
const (
	// defaultConnectTimeout bounds connecting. It is longer than the retransmission
	// of one lost SYN packet takes on the users' links, and shorter than the time
	// that requests with a long deadline can spare.
	defaultConnectTimeout = clock.Second

	// defaultMaxReplyBytes bounds the body of a reply, and so its memory.
	defaultMaxReplyBytes = 4 << 20

	// defaultMaxHeadBytes bounds the head of a reply. Browsers keep at least 50 cookies of
	// 4 KB for a site, but few sites set more than some of them at once.
	defaultMaxHeadBytes = 32 << 10

	// defaultIdleTimeoutMs is how long an idle connection stays usable if the upstream
	// does not state its idle timeout. Such upstreams have an idle timeout of less than
	// a second.
	defaultIdleTimeoutMs clock.Millis = 700

	// idleMarginMs is subtracted from a stated idle timeout, so that a request is not
	// sent while the upstream closes the connection.
	idleMarginMs clock.Millis = 700

	// closeIdleAfterMs is the idle time after which a connection is closed, and
	// idleCheckMs the interval of the check. Upstreams limit the connections of all VMs
	// together, and a VM that is no longer a carrier must not keep its share.
	closeIdleAfterMs = 8 * clock.Second
	idleCheckMs      = clock.Second

	// nonIdempotentIdleMs bounds the idle time after which a connection may still carry
	// a request that is not idempotent.
	nonIdempotentIdleMs clock.Millis = 400
)

// Call is one request to one upstream.
type Call struct {
	Attempt       uint64
	Upstream      string
	Address       string
	Request       *Request
	RemainingMs   clock.Millis
	NonIdempotent bool   // must not be repeated: needs a new or recently used connection
	NeedHeader    bool   // whether the Reply is to hold the headers
	Customer      string // name of the caller's customer; empty if none
}

// Result reports the end of a call: a Reply, or an Error.
type Result struct {
	Attempt uint64
	Reply   Reply
	Err     *Error
}

// Client sends calls to upstreams and holds the connections to them.
type Client struct {
	headers        Headers
	report         func(Result)
	connectTimeout clock.Millis
	maxReplyBytes  int
	maxHeadBytes   int
	replyMemory    memory.Bound
	clock          clock.Clock

	ctx        context.Context // cancels connecting
	cancel     context.CancelFunc
	exits      chan struct{} // one value for each goroutine that has ended; errors are reported as results
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

// pendingCall is a call without a result yet.
type pendingCall struct {
	call    Call
	conn    *conn
	cancel  context.CancelFunc // cancels connecting
	sent    bool               // a byte of the request may have left
	written bool               // the whole request is written
}

// New returns a Client that passes results to report, from any of its goroutines.
func New(report func(Result), opts ...Option) *Client {
	c := &Client{
		report: report, connectTimeout: defaultConnectTimeout, maxReplyBytes: defaultMaxReplyBytes, maxHeadBytes: defaultMaxHeadBytes, clock: clock.NewMonotonic(),
		exits: make(chan struct{}, 64), upstreams: make(map[string]*upstreamConns), calls: make(map[uint64]*pendingCall),
	}
	c.replyMemory.Set(defaultReplyMemory)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run closes idle connections until ctx is cancelled, then closes every connection and
// waits for all goroutines.
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
			c.cancel() // otherwise pending connects would delay the return
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

// closeExpired closes the connections whose idle time has exceeded its limit.
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

// startGoroutine runs f in a goroutine that Run waits for. The caller holds c.mu.
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

// Send starts a call. Its result is reported later, unless it is cancelled.
func (c *Client) Send(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.connsOf(call.Upstream, call.Address)
	p := &pendingCall{call: call}
	c.calls[call.Attempt] = p
	if cn := u.takeIdle(c.clock.Now(), &call); cn != nil {
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

// Cancel ends a call without reporting a result. Its connection is closed, so that the
// upstream can stop working on it.
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

// CloseIdle closes the idle connections to an upstream that was removed. Busy ones are
// closed after their reply.
func (c *Client) CloseIdle(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u := c.upstreams[upstream]; u != nil {
		u.closeIdle()
		delete(c.upstreams, upstream)
	}
}

// CloseAllIdle closes all idle connections. After a pause of the process it is not known
// how long they were idle.
func (c *Client) CloseAllIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.upstreams {
		u.closeIdle()
	}
}

// takeIdle removes and returns the most recently used idle connection that is usable.
// It closes the unusable connections that were used more recently.
func (u *upstreamConns) takeIdle(now clock.Millis, call *Call) *conn {
	for len(u.idle) > 0 {
		cn := u.idle[len(u.idle)-1]
		u.idle = u.idle[:len(u.idle)-1]
		if cn.usable(now, call) {
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

// dial opens a connection, and sends p on it unless p is nil. The caller holds c.mu.
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

// maxInlineBytes is the size up to which a request is written without starting a
// goroutine, as far as the socket's buffer takes it at once.
const maxInlineBytes = 8 << 10

// writeTimeout bounds a write that waits for the upstream.
const writeTimeout = 10 * time.Second

// write sends the request of p. It never waits for the upstream. The caller holds c.mu.
func (c *Client) write(cn *conn, p *pendingCall) {
	b := p.call.Request.appendTo(nil, c.headers, &p.call)
	p.sent = true
	n := 0
	if len(b) <= maxInlineBytes {
		var err error
		if n, err = socket.TryWrite(cn.nc, b); err != nil || n == len(b) {
			c.finishWrite(cn, p, n, err)
			return
		}
	}
	c.startGoroutine(func() {
		_ = cn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		more, err := cn.nc.Write(b[n:])
		if err == nil {
			err = cn.nc.SetWriteDeadline(time.Time{}) // a later request on the connection has its own
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.finishWrite(cn, p, n+more, err)
	})
}

// finishWrite records the outcome of a write. After a failure it closes the connection,
// and the reading goroutine reports the failure. The caller holds c.mu.
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

// finish reports the result of a call once, unless the call was cancelled.
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
