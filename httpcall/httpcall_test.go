package httpcall_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lentillink.example/lentillink/httpcall"
)

const (
	longTimeout   = 10 * time.Second // only reached if a test hangs
	completeReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
)

// startServer starts a server that answers request n, counted over all connections,
// with replyFor(n). It closes the connection after request n if closeAfter(n) is true.
func startServer(t *testing.T, replyFor func(n int64) string, closeAfter func(n int64) bool) (address string, requests *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests = &atomic.Int64{}
	var wg sync.WaitGroup
	serveConn := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			n := requests.Add(1)
			if _, err := io.WriteString(c, replyFor(n)); err != nil || closeAfter(n) {
				return
			}
		}
	}
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { serveConn(c) })
		}
	})
	t.Cleanup(func() { _ = ln.Close(); wg.Wait() })
	return ln.Addr().String(), requests
}

func always(s string) func(int64) string { return func(int64) string { return s } }
func never(int64) bool                   { return false }

func newHost(t *testing.T, address string, opts ...httpcall.Option) *httpcall.Host {
	t.Helper()
	h := httpcall.New(address, opts...)
	t.Cleanup(h.Close)
	return h
}

func doCall(t *testing.T, h *httpcall.Host, check httpcall.CheckReply) error {
	t.Helper()
	_, err := h.Do(t.Context(), httpcall.Call{Method: http.MethodPost, Path: "/x", Body: []byte("{}"), Timeout: longTimeout}, check)
	return err
}

// TestNoRepeatAfterWrite guards against a call that is sent again after a byte of it
// was written. The host closes the connection after each reply.
func TestNoRepeatAfterWrite(t *testing.T) {
	address, requests := startServer(t, always(completeReply), func(int64) bool { return true })
	h := newHost(t, address)
	const calls = 200
	for range calls {
		var callErr *httpcall.Error
		if err := doCall(t, h, nil); err != nil && (!errors.As(err, &callErr) || !callErr.Kind().Sent()) {
			t.Errorf("Do = %v, want a reply or a kind whose Sent is true", err)
		}
	}
	if got := requests.Load(); got > calls {
		t.Errorf("host received %d requests, want at most %d", got, calls)
	}
	if h.StaleConns() == 0 {
		t.Error("StaleConns = 0, want at least one closed connection detected before its reuse")
	}
}

// TestConnectionLimit guards against connections above the limit while others fail
// or after the limit is lowered.
func TestConnectionLimit(t *testing.T) {
	const limit = 4
	address, _ := startServer(t, always(completeReply), func(n int64) bool { return n%3 == 0 })
	h := newHost(t, address, httpcall.WithMaxConns(limit), httpcall.WithWaitTimeout(longTimeout))
	errRejected := errors.New("rejected by the test")
	var wg sync.WaitGroup
	for range 8 * limit {
		wg.Go(func() {
			for i := range 20 {
				err := doCall(t, h, func(httpcall.Reply) error {
					if i%2 == 0 {
						return errRejected
					}
					return nil
				})
				var callErr *httpcall.Error
				if errors.As(err, &callErr) && callErr.Kind() == httpcall.KindDial {
					t.Errorf("Do = %v, want no error of kind dial", err)
				}
			}
		})
	}
	wg.Wait()
	if got := h.PeakConns(); got > limit {
		t.Errorf("got a peak of %d connections, want at most %d", got, limit)
	}
	h.SetConnectionLimit(1)
	if err := doCall(t, h, nil); err != nil {
		t.Errorf("Do after the limit was lowered = %v, want nil", err)
	}
	if got := h.OpenConns(); got > 1 {
		t.Errorf("got %d open connections, want at most 1", got)
	}
}

// TestLimitLoweredWhileBusy guards against a connection that stays open above a
// limit that was lowered while it was busy.
func TestLimitLoweredWhileBusy(t *testing.T) {
	address, _ := startServer(t, always(completeReply), never)
	h := newHost(t, address, httpcall.WithMaxConns(2))
	err := doCall(t, h, func(httpcall.Reply) error {
		h.SetConnectionLimit(0)
		return nil
	})
	if err != nil || h.OpenConns() != 0 {
		t.Errorf("Do = %v with %d open connections, want a reply and 0", err, h.OpenConns())
	}
	var callErr *httpcall.Error
	if err := doCall(t, h, nil); !errors.As(err, &callErr) || callErr.Kind() != httpcall.KindNotSent {
		t.Errorf("Do with a connection limit of 0 = %v, want kind not_sent", err)
	}
}

// TestClose guards against a call that is not interrupted by Close, or is sent after it.
func TestClose(t *testing.T) {
	address, requests := startServer(t, always("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"), never)
	h := newHost(t, address)
	ended := make(chan error, 1)
	go func() { ended <- doCall(t, h, nil) }()
	for requests.Load() == 0 && t.Context().Err() == nil {
		continue
	}
	h.Close()
	var callErr *httpcall.Error
	if err := <-ended; !errors.As(err, &callErr) || !callErr.Kind().Sent() {
		t.Errorf("running Do = %v, want a kind whose Sent is true", err)
	}
	if err := doCall(t, h, nil); !errors.As(err, &callErr) || callErr.Kind() != httpcall.KindNotSent {
		t.Errorf("Do after Close = %v, want kind not_sent", err)
	}
}

// TestConnClosedBeforeUse guards against a wrong kind of error, and a connection
// that is still counted as open, when the host closes new connections immediately.
// A request on such a connection must not be reported as possibly executed, unless
// a byte of it was written before the close arrived.
func TestConnClosedBeforeUse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); <-ended })
	h := newHost(t, ln.Addr().String())
	for range 200 {
		var callErr *httpcall.Error
		err := doCall(t, h, nil)
		if !errors.As(err, &callErr) || callErr.Kind() != httpcall.KindDial && callErr.Kind() != httpcall.KindBroken {
			t.Fatalf("Do = %v, want kind dial or broken", err)
		}
	}
	if got := h.OpenConns(); got != 0 {
		t.Errorf("got %d open connections, want 0", got)
	}
}
