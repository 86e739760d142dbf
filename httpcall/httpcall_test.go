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
	long  = 10 * time.Second // never reached unless a test hangs
	whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
)

// serve answers each request with answer(n), n counted over all connections.
// It closes the connection after an answer for which last returns true.
func serve(t *testing.T, answer func(n int64) string, last func(n int64) bool) (address string, requests *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests = &atomic.Int64{}
	var wg sync.WaitGroup
	connection := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			n := requests.Add(1)
			if _, err := io.WriteString(c, answer(n)); err != nil || last(n) {
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
			wg.Go(func() { connection(c) })
		}
	})
	t.Cleanup(func() { _ = ln.Close(); wg.Wait() })
	return ln.Addr().String(), requests
}

func always(s string) func(int64) string { return func(int64) string { return s } }
func never(int64) bool                   { return false }

func host(t *testing.T, address string, opts ...httpcall.Option) *httpcall.Host {
	t.Helper()
	h := httpcall.New(address, opts...)
	t.Cleanup(h.Close)
	return h
}

func do(t *testing.T, h *httpcall.Host, check httpcall.CheckReply) error {
	t.Helper()
	_, err := h.Do(t.Context(), httpcall.Call{Method: http.MethodPost, Path: "/x", Body: []byte("{}"), Timeout: long}, check)
	return err
}

// TestNeverRepeats guards against a call that is sent again after a byte of it
// was written, on connections that the host closes after each answer.
func TestNeverRepeats(t *testing.T) {
	address, requests := serve(t, always(whole), func(int64) bool { return true })
	h := host(t, address)
	const calls = 200
	for range calls {
		var cerr *httpcall.Error
		if err := do(t, h, nil); err != nil && (!errors.As(err, &cerr) || !cerr.Kind().Sent()) {
			t.Errorf("Do = %v, want an answer or a kind that may have been sent", err)
		}
	}
	if got := requests.Load(); got > calls {
		t.Errorf("host saw %d requests, want at most %d", got, calls)
	}
	if h.StaleConns() == 0 {
		t.Error("no closed connection was found before its next use")
	}
}

// TestBound guards against a connection too many while others break or the bound shrinks.
func TestBound(t *testing.T) {
	const bound = 4
	address, _ := serve(t, always(whole), func(n int64) bool { return n%3 == 0 })
	h := host(t, address, httpcall.WithMaxConns(bound), httpcall.WithWaitTimeout(long))
	refuse := errors.New("refused by the test")
	var wg sync.WaitGroup
	for range 8 * bound {
		wg.Go(func() {
			for i := range 20 {
				err := do(t, h, func(httpcall.Reply) error {
					if i%2 == 0 {
						return refuse
					}
					return nil
				})
				var cerr *httpcall.Error
				if errors.As(err, &cerr) && cerr.Kind() == httpcall.KindDial {
					t.Errorf("Do = %v", err)
				}
			}
		})
	}
	wg.Wait()
	if got := h.PeakConns(); got > bound {
		t.Errorf("got %d connections at once, want at most %d", got, bound)
	}
	h.SetConnectionLimit(1)
	if err := do(t, h, nil); err != nil {
		t.Errorf("Do after the bound shrank = %v", err)
	}
	if got := h.OpenConns(); got > 1 {
		t.Errorf("got %d open connections, want at most 1", got)
	}
}

// TestShrinkWhileBusy guards against a busy connection that is kept above a new bound.
func TestShrinkWhileBusy(t *testing.T) {
	address, _ := serve(t, always(whole), never)
	h := host(t, address, httpcall.WithMaxConns(2))
	err := do(t, h, func(httpcall.Reply) error {
		h.SetConnectionLimit(0)
		return nil
	})
	if err != nil || h.OpenConns() != 0 {
		t.Errorf("Do = %v with %d open connections, want an answer and none", err, h.OpenConns())
	}
	var cerr *httpcall.Error
	if err := do(t, h, nil); !errors.As(err, &cerr) || cerr.Kind() != httpcall.KindNotSent {
		t.Errorf("Do without connections = %v, want kind not_sent", err)
	}
}

// TestClose guards against a call that survives Close or is sent after it.
func TestClose(t *testing.T) {
	address, requests := serve(t, always("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"), never)
	h := host(t, address)
	ended := make(chan error, 1)
	go func() { ended <- do(t, h, nil) }()
	for requests.Load() == 0 && t.Context().Err() == nil {
		continue
	}
	h.Close()
	var cerr *httpcall.Error
	if err := <-ended; !errors.As(err, &cerr) || !cerr.Kind().Sent() {
		t.Errorf("running Do = %v, want a kind that may have been sent", err)
	}
	if err := do(t, h, nil); !errors.As(err, &cerr) || cerr.Kind() != httpcall.KindNotSent {
		t.Errorf("Do after Close = %v, want kind not_sent", err)
	}
}

// TestClosedAtOnce guards against a new connection that the host closed at
// once and that is reported as if the request might have been run.
func TestClosedAtOnce(t *testing.T) {
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
	h := host(t, ln.Addr().String())
	for range 200 {
		var cerr *httpcall.Error
		err := do(t, h, nil)
		if !errors.As(err, &cerr) || cerr.Kind() != httpcall.KindDial && cerr.Kind() != httpcall.KindBroken {
			t.Fatalf("Do = %v, want kind dial or broken", err)
		}
	}
	if got := h.OpenConns(); got != 0 {
		t.Errorf("got %d open connections, want 0", got)
	}
}
