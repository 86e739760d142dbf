package httpstore

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/httpcall"
	"lentillink.example/lentillink/store"
)

// repeatPause keeps a store that answers a watch too early from being asked in a tight loop.
const repeatPause = 100 * time.Millisecond

// Watch waits until the key's revision exceeds after, then returns the entry.
// Its own connection lets the end of ctx interrupt a waiting call.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	host := c.openWatch()
	defer c.closeWatch(host)
	defer context.AfterFunc(ctx, host.Close)()
	call := httpcall.Call{
		Method:  fasthttp.MethodGet,
		Path:    "/watch?" + query("key", key, "after", number(after), "wait_ms", strconv.FormatInt(int64(c.waitMs), 10)),
		Timeout: (c.waitMs + c.timeoutMs).Duration(),
	}
	for {
		e, err := entry(ctx, host, read("watch"), key, call)
		if err != nil || e.Revision > after {
			return e, err
		}
		if err := c.pause(ctx); err != nil {
			return store.Entry{}, store.NewError("watch", store.KindUnavailable, err)
		}
	}
}

func (c *Client) openWatch() *httpcall.Host {
	host := httpcall.New(c.address, httpcall.WithMaxConns(1), httpcall.WithMaxReplyBytes(maxAnswerBytes),
		httpcall.WithConnectTimeout(c.timeoutMs.Duration()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watches[host] = struct{}{}
	if c.closed {
		host.Close()
	}
	return host
}

func (c *Client) closeWatch(host *httpcall.Host) {
	host.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.watches, host)
}

func (c *Client) pause(ctx context.Context) error {
	timer := time.NewTimer(repeatPause)
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
