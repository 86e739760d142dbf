package httpup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/httpcall"
	"lentillink.example/lentillink/memory"
	"lentillink.example/lentillink/upstream"
)

// controlIdleTimeoutMs is short, so that the control connection closes soon after
// its last use: it counts against the limit that all VMs share.
const controlIdleTimeoutMs clock.Millis = 1000

// defaultReplyMemory bounds the memory of all replies that are being read.
const defaultReplyMemory = 64 << 20

var _ upstream.Client = (*Client)(nil)

// Client implements upstream.Client over fasthttp.
type Client struct {
	upstreams        []upstream.Upstream
	clock            clock.Clock
	connectTimeoutMs clock.Millis
	idleTimeoutMs    clock.Millis
	controlTimeoutMs clock.Millis
	maxReplyBytes    int
	replyMemory      memory.Bound // for the replies of all upstreams that are being read
	hosts            map[upstream.ID]*host
}

// host holds the connections to one upstream and counts the replies that were dropped.
type host struct {
	attempts     *httpcall.Host
	control      *httpcall.Host
	wrongAttempt atomic.Int64
	malformed    atomic.Int64
	trailingData atomic.Int64
}

// New returns a client. It opens no connection.
func New(opts ...Option) *Client {
	c := &Client{
		clock:            clock.System{},
		connectTimeoutMs: 500,
		idleTimeoutMs:    clock.Minute,
		controlTimeoutMs: 500,
		maxReplyBytes:    8 << 20,
	}
	c.replyMemory.Set(defaultReplyMemory)
	for _, opt := range opts {
		opt(c)
	}
	c.hosts = make(map[upstream.ID]*host, len(c.upstreams))
	for _, u := range c.upstreams {
		wait := httpcall.WithWaitTimeout(c.controlTimeoutMs.Duration())
		c.hosts[u.ID] = &host{attempts: c.newHost(u, u.ConnectionLimit, c.idleTimeoutMs), control: c.newHost(u, 1, controlIdleTimeoutMs, wait)}
	}
	return c
}

func (c *Client) newHost(u upstream.Upstream, connections int, idleMs clock.Millis, extra ...httpcall.Option) *httpcall.Host {
	opts := append(extra,
		httpcall.WithMaxConns(connections),
		httpcall.WithConnectTimeout(c.connectTimeoutMs.Duration()),
		httpcall.WithIdleTimeout(idleMs.Duration()),
		httpcall.WithMaxReplyBytes(c.maxReplyBytes), httpcall.WithMemory(&c.replyMemory),
	)
	return httpcall.New(u.Address, opts...)
}

// SetConnectionLimit sets the maximum number of open connections to an upstream,
// without the control connection.
func (c *Client) SetConnectionLimit(id upstream.ID, n int) {
	if h, ok := c.hosts[id]; ok {
		h.attempts.SetConnectionLimit(n)
	}
}

// Close closes all connections. Attempts in flight fail.
func (c *Client) Close() {
	for _, h := range c.hosts {
		h.attempts.Close()
		h.control.Close()
	}
}

// Cancel asks an upstream to stop an attempt.
func (c *Client) Cancel(ctx context.Context, id upstream.ID, attemptID attempt.ID) error {
	body, err := json.Marshal(CancelDoc{Attempt: attemptID})
	if err != nil {
		return &Error{op: "cancel", kind: KindUnavailable, err: trace.Wrap(err)}
	}
	var doc CancelledDoc
	if err := c.doControl(ctx, "cancel", id, httpcall.Call{Method: fasthttp.MethodPost, Path: "/cancel", Body: body}, &doc); err != nil {
		return err
	}
	if doc.Attempt != attemptID {
		return &Error{op: "cancel", kind: KindBadReply, err: errOtherAttempt}
	}
	return nil
}

// Load returns the load that an upstream reports.
func (c *Client) Load(ctx context.Context, id upstream.ID) (upstream.Load, error) {
	var load upstream.Load
	err := c.doControl(ctx, "load", id, httpcall.Call{Method: fasthttp.MethodGet, Path: "/load"}, &load)
	return load, err
}

func (c *Client) doControl(ctx context.Context, op string, id upstream.ID, call httpcall.Call, out any) error {
	h, ok := c.hosts[id]
	if !ok {
		return &Error{op: op, kind: KindUnknownUpstream, err: fmt.Errorf("upstream %q is not configured", id)}
	}
	call.Timeout = c.controlTimeoutMs.Duration()
	_, err := h.control.Do(ctx, call, func(r httpcall.Reply) error {
		if r.Status != fasthttp.StatusOK {
			return fmt.Errorf("HTTP status is %d, want 200", r.Status)
		}
		return json.Unmarshal(r.Body, out)
	})
	if err == nil {
		return nil
	}
	kind := KindUnavailable
	var callErr *httpcall.Error
	if errors.As(err, &callErr) && callErr.Kind() > httpcall.KindBroken {
		kind = KindBadReply
	}
	return &Error{op: op, kind: kind, err: trace.Wrap(err, "upstream %s", id)}
}
