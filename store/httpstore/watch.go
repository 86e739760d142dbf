package httpstore

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/httpcall"
	"lentillink.example/lentillink/store"
)

// watchRetryDelay prevents a tight loop of calls if the store replies to a watch too early.
const watchRetryDelay = 100 * time.Millisecond

// Watch waits until the key's revision exceeds after, then returns the entry.
// It has its own connection, which is closed when ctx ends to interrupt the call.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	host := c.openWatchHost()
	defer c.closeWatchHost(host)
	defer context.AfterFunc(ctx, host.Close)()
	call := httpcall.Call{
		Method:  fasthttp.MethodGet,
		Path:    "/watch?" + encodeQuery("key", key, "after", formatUint(after), "wait_ms", strconv.FormatInt(int64(c.watchTimeoutMs), 10)),
		Timeout: (c.watchTimeoutMs + c.timeoutMs).Duration(),
	}
	for {
		e, err := doKeyCall(ctx, host, readOp("watch"), key, call)
		if err != nil || e.Revision > after {
			return e, err
		}
		if err := c.waitBeforeRetry(ctx); err != nil {
			return store.Entry{}, store.NewError("watch", store.KindUnavailable, err)
		}
	}
}

func (c *Client) openWatchHost() *httpcall.Host {
	host := httpcall.New(c.address, httpcall.WithMaxConns(1), httpcall.WithMaxReplyBytes(maxReplyBytes),
		httpcall.WithConnectTimeout(c.timeoutMs.Duration()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchHosts[host] = struct{}{}
	if c.closed {
		host.Close()
	}
	return host
}

func (c *Client) closeWatchHost(host *httpcall.Host) {
	host.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.watchHosts, host)
}

func (c *Client) waitBeforeRetry(ctx context.Context) error {
	timer := time.NewTimer(watchRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errClosed
	}
}
