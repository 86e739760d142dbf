package httpstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/httpcall"
	"lentillink.example/lentillink/store"
)

// maxValueBytes is the largest value that the platform's store accepts.
const maxValueBytes = 1 << 20

// maxReplyBytes is twice maxValueBytes, for base64 and the other fields of a reply.
const maxReplyBytes = 2 * maxValueBytes

var _ store.Store = (*Client)(nil)

var (
	errOtherKey = errors.New("reply is for another key")
	errClosed   = errors.New("client is closed")
)

// Client implements store.Store. Its errors are of type *store.Error.
type Client struct {
	address        string
	timeoutMs      clock.Millis
	watchTimeoutMs clock.Millis
	maxConns       int
	host           *httpcall.Host
	done           chan struct{} // closed by Close

	mu         sync.Mutex
	watchHosts map[*httpcall.Host]struct{}
	closed     bool
}

// New returns a client for the store at a host:port address. It opens no connection.
func New(address string, opts ...Option) *Client {
	c := &Client{
		address:        address,
		timeoutMs:      clock.Second,
		watchTimeoutMs: 20 * clock.Second,
		maxConns:       8,
		done:           make(chan struct{}),
		watchHosts:     make(map[*httpcall.Host]struct{}),
	}
	for _, opt := range opts {
		opt(c)
	}
	timeout := c.timeoutMs.Duration()
	c.host = httpcall.New(address, httpcall.WithMaxConns(c.maxConns), httpcall.WithMaxReplyBytes(maxReplyBytes),
		httpcall.WithConnectTimeout(timeout), httpcall.WithWaitTimeout(timeout))
	return c
}

// Close closes all connections. Calls in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	c.host.Close()
	for h := range c.watchHosts {
		h.Close()
	}
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	return c.keyCall(ctx, readOp("get"), fasthttp.MethodGet, key, "/kv?"+encodeQuery("key", key), nil)
}

// Swap writes value if the key's revision equals expect.
func (c *Client) Swap(ctx context.Context, key string, value []byte, expect uint64) (store.Entry, error) {
	if len(value) > maxValueBytes {
		err := fmt.Errorf("value has %d bytes, want at most %d", len(value), maxValueBytes)
		return store.Entry{}, store.NewError("swap", store.KindTooLarge, err)
	}
	body, err := json.Marshal(ValueDoc{Value: value})
	if err != nil {
		return store.Entry{}, store.NewError("swap", store.KindUnavailable, trace.Wrap(err))
	}
	e, err := c.keyCall(ctx, writeOp("swap"), fasthttp.MethodPut, key, "/kv?"+encodeQuery("key", key, "expect", formatUint(expect)), body)
	if err != nil {
		return store.Entry{}, err
	}
	e.Value = value
	return e, nil
}

// Delete removes a key if its revision equals expect.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	_, err := c.keyCall(ctx, writeOp("delete"), fasthttp.MethodDelete, key, "/kv?"+encodeQuery("key", key, "expect", formatUint(expect)), nil)
	return err
}

// Grant creates a lease.
func (c *Client) Grant(ctx context.Context, ttl clock.Millis) (store.LeaseID, error) {
	return c.leaseCall(ctx, "grant", fasthttp.MethodPost, encodeQuery("ttl_ms", strconv.FormatInt(int64(ttl), 10)))
}

// KeepAlive extends a lease.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) error {
	_, err := c.leaseCall(ctx, "keep_alive", fasthttp.MethodPut, encodeQuery("id", formatUint(uint64(id))))
	return err
}

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	_, err := c.leaseCall(ctx, "revoke", fasthttp.MethodDelete, encodeQuery("id", formatUint(uint64(id))))
	return err
}

func (c *Client) leaseCall(ctx context.Context, op, method, query string) (store.LeaseID, error) {
	var doc LeaseDoc
	call := httpcall.Call{Method: method, Path: "/lease?" + query, Timeout: c.timeoutMs.Duration()}
	err := do(ctx, c.host, writeOp(op), call, func(body []byte) error { return json.Unmarshal(body, &doc) })
	return doc.ID, err
}

func (c *Client) keyCall(ctx context.Context, op operation, method, key, path string, body []byte) (store.Entry, error) {
	call := httpcall.Call{Method: method, Path: path, Body: body, Timeout: c.timeoutMs.Duration()}
	return doKeyCall(ctx, c.host, op, key, call)
}

func doKeyCall(ctx context.Context, host *httpcall.Host, op operation, key string, call httpcall.Call) (store.Entry, error) {
	var doc EntryDoc
	err := do(ctx, host, op, call, func(body []byte) error {
		if err := json.Unmarshal(body, &doc); err != nil {
			return err
		}
		if doc.Key != key {
			return fmt.Errorf("%w: got %q, want %q", errOtherKey, doc.Key, key)
		}
		return nil
	})
	if err != nil {
		return store.Entry{}, err
	}
	return store.Entry{Key: doc.Key, Value: doc.Value, Revision: doc.Revision}, nil
}

func encodeQuery(pairs ...string) string {
	v := url.Values{}
	for i := 0; i < len(pairs); i += 2 {
		v.Set(pairs[i], pairs[i+1])
	}
	return v.Encode()
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
