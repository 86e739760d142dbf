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
	"lentillink.example/lentillink/upstream"
)

// controlIdleMs closes the control connection soon after its last use,
// because it counts against the limit that all VMs share.
const controlIdleMs clock.Millis = 1000

var _ upstream.Client = (*Client)(nil)

// Client implements upstream.Client over fasthttp.
type Client struct {
	upstreams  []upstream.Upstream
	clock      clock.Clock
	connectMs  clock.Millis
	idleMs     clock.Millis
	controlMs  clock.Millis
	replyBytes int
	hosts      map[upstream.ID]*host
}

// host holds the connections to one upstream and counts its bad replies.
type host struct {
	work    *httpcall.Host
	control *httpcall.Host
	crossed atomic.Int64
	cut     atomic.Int64
	doubled atomic.Int64
}

// New returns a client. It opens no connection.
func New(opts ...Option) *Client {
	c := &Client{
		clock:      clock.System{},
		connectMs:  500,
		idleMs:     clock.Minute,
		controlMs:  500,
		replyBytes: 8 << 20,
	}
	for _, opt := range opts {
		opt(c)
	}
	c.hosts = make(map[upstream.ID]*host, len(c.upstreams))
	for _, u := range c.upstreams {
		wait := httpcall.WithWaitTimeout(c.controlMs.Duration())
		c.hosts[u.ID] = &host{work: c.newHost(u, u.ConnectionLimit, c.idleMs), control: c.newHost(u, 1, controlIdleMs, wait)}
	}
	return c
}

func (c *Client) newHost(u upstream.Upstream, connections int, idleMs clock.Millis, extra ...httpcall.Option) *httpcall.Host {
	opts := append(extra,
		httpcall.WithMaxConns(connections),
		httpcall.WithConnectTimeout(c.connectMs.Duration()),
		httpcall.WithIdleTimeout(idleMs.Duration()),
		httpcall.WithMaxReplyBytes(c.replyBytes),
	)
	return httpcall.New(u.Address, opts...)
}

// SetConnectionLimit changes how many connections to an upstream may be open.
func (c *Client) SetConnectionLimit(id upstream.ID, n int) {
	if h, ok := c.hosts[id]; ok {
		h.work.SetConnectionLimit(n)
	}
}

// Close closes all connections; running attempts fail.
func (c *Client) Close() {
	for _, h := range c.hosts {
		h.work.Close()
		h.control.Close()
	}
}

// Cancel asks an upstream to stop an attempt.
func (c *Client) Cancel(ctx context.Context, id upstream.ID, at attempt.ID) error {
	body, err := json.Marshal(CancelDoc{Attempt: at})
	if err != nil {
		return &Error{op: "cancel", kind: KindUnavailable, err: trace.Wrap(err)}
	}
	var doc CancelledDoc
	if err := c.control(ctx, "cancel", id, httpcall.Call{Method: fasthttp.MethodPost, Path: "/cancel", Body: body}, &doc); err != nil {
		return err
	}
	if doc.Attempt != at {
		return &Error{op: "cancel", kind: KindBadReply, err: errOtherAttempt}
	}
	return nil
}

// Load asks an upstream for its load.
func (c *Client) Load(ctx context.Context, id upstream.ID) (upstream.Load, error) {
	var load upstream.Load
	err := c.control(ctx, "load", id, httpcall.Call{Method: fasthttp.MethodGet, Path: "/load"}, &load)
	return load, err
}

func (c *Client) control(ctx context.Context, op string, id upstream.ID, call httpcall.Call, out any) error {
	h, ok := c.hosts[id]
	if !ok {
		return &Error{op: op, kind: KindUnknownUpstream, err: fmt.Errorf("upstream %q", id)}
	}
	call.Timeout = c.controlMs.Duration()
	_, err := h.control.Do(ctx, call, func(r httpcall.Reply) error {
		if r.Status != fasthttp.StatusOK {
			return fmt.Errorf("status %d", r.Status)
		}
		return json.Unmarshal(r.Body, out)
	})
	if err == nil {
		return nil
	}
	kind := KindUnavailable
	var cerr *httpcall.Error
	if errors.As(err, &cerr) && cerr.Kind() > httpcall.KindBroken {
		kind = KindBadReply
	}
	return &Error{op: op, kind: kind, err: trace.Wrap(err, "upstream %s", id)}
}
