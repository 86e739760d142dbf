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

	// defaultReplyBytes bounds the memory that one reply takes.
	defaultReplyBytes = 4 << 20

	// unstatedIdleMs is how long a kept connection is used again if the upstream
	// does not state its idle timeout, which is then below a second.
	unstatedIdleMs clock.Millis = 700

	// idleReserveMs is kept from a stated idle timeout, so that a request does
	// not cross the upstream's close.
	idleReserveMs clock.Millis = 700

	// reapMs is the age from which an idle connection is closed, and reapEveryMs how
	// often that is looked at. Upstreams bound the connections of all VMs together,
	// and a VM that was a carrier once must not hold them for good.
	reapMs      = 8 * clock.Second
	reapEveryMs = clock.Second

	// freshIdleMs is how long a kept connection may have been idle to carry a
	// request that must not repeat.
	freshIdleMs clock.Millis = 400
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
	replyBytes     int
	clock          clock.Clock

	ctx     context.Context // of the opening of connections
	cancel  context.CancelFunc
	ends    chan struct{} // one for each goroutine that has ended; their errors are results
	mu      sync.Mutex
	running int
	hosts   map[string]*host
	jobs    map[uint64]*job
}

// host holds the connections to one upstream.
type host struct {
	upstream string
	address  string
	idle     []*conn // least recently used first
	open     int
}

// job is a call that has not ended.
type job struct {
	call   Call
	conn   *conn
	cancel context.CancelFunc // ends the opening of a connection
	sent   bool
	wrote  bool // the whole request is written
}

// New returns a client that reports results through report, from any goroutine.
func New(report func(Result), opts ...Option) *Client {
	c := &Client{
		report: report, connectTimeout: defaultConnectTimeout, replyBytes: defaultReplyBytes, clock: clock.NewMonotonic(),
		ends: make(chan struct{}, 64), hosts: make(map[string]*host), jobs: make(map[uint64]*job),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run waits until ctx ends, then closes every connection and waits for their goroutines.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(reapEveryMs.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-c.ends:
			c.ended()
		case <-ticker.C:
			c.reap(c.clock.Now())
		case <-ctx.Done():
			c.cancel() // a connection that is being opened would hold up the end
			c.closeAll()
			for c.left() > 0 {
				<-c.ends
				c.ended()
			}
			return nil
		}
	}
}

func (c *Client) ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
}

func (c *Client) left() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

func (c *Client) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		j.stop()
	}
	for _, h := range c.hosts {
		h.closeIdle()
	}
}

// reap closes connections that have been idle for long.
func (c *Client) reap(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		kept := h.idle[:0]
		for _, cn := range h.idle {
			if now-cn.usedAt < min(reapMs, cn.idleMs) {
				kept = append(kept, cn)
				continue
			}
			_ = cn.nc.Close()
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
}

// start runs f in a goroutine whose end Run reads. The caller holds c.mu.
func (c *Client) start(f func()) {
	c.running++
	go func() {
		f()
		c.ends <- struct{}{}
	}()
}

func (c *Client) host(upstream, address string) *host {
	h := c.hosts[upstream]
	if h == nil {
		h = &host{upstream: upstream, address: address}
		c.hosts[upstream] = h
	}
	return h
}

// Send starts a call. Its result is reported later.
func (c *Client) Send(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.host(call.Upstream, call.Address)
	j := &job{call: call}
	c.jobs[call.Attempt] = j
	if cn := h.take(c.clock.Now(), call.NonIdempotent); cn != nil {
		j.conn = cn
		cn.job = j
		c.write(cn, j)
		return
	}
	c.dial(h, j)
}

// Connect opens a connection to an upstream if there is none.
func (c *Client) Connect(upstream, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.host(upstream, address); h.open == 0 {
		c.dial(h, nil)
	}
}

// Cancel ends a call without a result. Its connection is closed, which tells
// the upstream to stop.
func (c *Client) Cancel(attempt uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[attempt]; j != nil {
		delete(c.jobs, attempt)
		j.stop()
	}
}

func (j *job) stop() {
	if j.cancel != nil {
		j.cancel()
	}
	if j.conn != nil {
		_ = j.conn.nc.Close()
	}
}

// CloseIdle closes the idle connections to an upstream that is gone.
func (c *Client) CloseIdle(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[upstream]; h != nil {
		h.closeIdle()
		delete(c.hosts, upstream)
	}
}

// take removes the most recently used connection that is still good from the
// idle ones. Older ones are closed.
func (h *host) take(now clock.Millis, fresh bool) *conn {
	for len(h.idle) > 0 {
		cn := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if cn.good(now, fresh) {
			return cn
		}
		_ = cn.nc.Close()
	}
	return nil
}

func (h *host) closeIdle() {
	for _, cn := range h.idle {
		_ = cn.nc.Close()
	}
	h.idle = nil
}

func (h *host) unidle(cn *conn) {
	for i, o := range h.idle {
		if o == cn {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			return
		}
	}
}

// dial opens a connection, and sends j on it unless j is nil. The caller holds c.mu.
func (c *Client) dial(h *host, j *job) {
	ctx, cancel := context.WithTimeout(c.ctx, c.connectTimeout.Duration())
	if j != nil {
		j.cancel = cancel
	}
	h.open++
	c.start(func() {
		defer cancel()
		nc, err := dialer.DialContext(ctx, "tcp", h.address)
		c.dialed(h, j, nc, err)
	})
}

func (c *Client) dialed(h *host, j *job, nc net.Conn, err error) {
	c.mu.Lock()
	if err != nil {
		h.open--
		c.mu.Unlock()
		if j != nil {
			c.end(j, Result{Attempt: j.call.Attempt, Err: &Error{op: "dial", kind: KindDial, err: err}})
		}
		return
	}
	cn := &conn{client: c, host: h, nc: nc, idleMs: unstatedIdleMs, usedAt: c.clock.Now()}
	wanted := j != nil && c.jobs[j.call.Attempt] == j
	if wanted {
		j.conn, j.cancel = cn, nil
		cn.job = j
		c.write(cn, j)
	} else {
		h.idle = append(h.idle, cn)
	}
	c.start(cn.read)
	c.mu.Unlock()
}

// inlineBytes is the size up to which a request is written by the caller's own
// goroutine: the socket takes it whole, because only one request is open on it.
const inlineBytes = 8 << 10

// writeTimeout bounds the writing of a large body.
const writeTimeout = 10 * time.Second

// write sends the request of j. The caller holds c.mu.
func (c *Client) write(cn *conn, j *job) {
	b := j.call.Request.appendTo(nil, c.headers, j.call.Upstream, j.call.RemainingMs)
	j.sent = true
	if len(b) <= inlineBytes {
		n, err := cn.nc.Write(b)
		c.wrote(cn, j, n, err)
		return
	}
	_ = cn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.start(func() {
		n, err := cn.nc.Write(b)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.wrote(cn, j, n, err)
	})
}

// wrote notes the end of a write. A failed one closes the connection, and the
// reader reports it. The caller holds c.mu.
func (c *Client) wrote(cn *conn, j *job, n int, err error) {
	if err == nil {
		j.wrote = true
		return
	}
	if n == 0 {
		j.sent = false
	}
	_ = cn.nc.Close()
}

// end reports the result of a job once, unless it was cancelled.
func (c *Client) end(j *job, r Result) {
	c.mu.Lock()
	open := c.jobs[j.call.Attempt] == j
	if open {
		delete(c.jobs, j.call.Attempt)
	}
	c.mu.Unlock()
	if open {
		c.report(r)
	}
}
