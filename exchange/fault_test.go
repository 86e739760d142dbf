package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"lentillink.example/lentillink/exchange"
)

// rawUpstream is an upstream that writes bytes of its own on each connection.
type rawUpstream struct {
	lis   net.Listener
	mu    sync.Mutex
	conns int
	ended int // connections on which a write or read failed
	wg    sync.WaitGroup
}

// startRaw starts an upstream that calls serve with the ID of each request. serve
// returns false to stop reading.
func startRaw(t *testing.T, serve func(w io.Writer, id string, n int) bool) *rawUpstream {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{lis: lis}
	u.wg.Go(func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns++
			u.mu.Unlock()
			u.wg.Go(func() {
				defer func() {
					_ = nc.Close()
					u.mu.Lock()
					u.ended++
					u.mu.Unlock()
				}()
				br := bufio.NewReader(nc)
				for n := 1; ; n++ {
					req, err := http.ReadRequest(br)
					if err != nil || !serve(nc, req.Header.Get("Request"), n) {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() { _ = lis.Close() })
	return u
}

func (u *rawUpstream) counts() (conns, ended int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns, u.ended
}

// newClient returns a running client and its results.
func newClient(t *testing.T, opts ...exchange.Option) (*exchange.Client, <-chan exchange.Result) {
	t.Helper()
	results := make(chan exchange.Result, 64)
	c := exchange.New(func(res exchange.Result) { results <- res }, append([]exchange.Option{exchange.WithHeaders(headers)}, opts...)...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("run: got %v, want nil", err)
		}
	})
	return c, results
}

func send(c *exchange.Client, u *rawUpstream, attempt uint64, id string) {
	c.Send(exchange.Call{
		Attempt: attempt, Upstream: "u", Address: u.lis.Addr().String(), RemainingMs: 100,
		Request: exchange.NewRequest(headers, http.MethodGet, "/p", "h", id, nil, nil),
	})
}

func nextResult(t *testing.T, results <-chan exchange.Result) exchange.Result {
	t.Helper()
	select {
	case res := <-results:
		return res
	case <-time.After(waitLimit):
		t.Fatal("got no result")
		return exchange.Result{}
	}
}

// endless writes a text until the connection is closed.
func endless(w io.Writer, text string) {
	block := strings.Repeat(text, max(4096/len(text), 1))
	for {
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
	}
}

// endlessReplies are replies that never end, by how they begin and go on.
var endlessReplies = []struct{ name, start, repeat string }{
	{"bytes that are no reply", "", "x"},
	{"empty lines", "", "\r\n"},
	{"status line", "HTTP/1.1 200 ", "OK"},
	{"header value", "HTTP/1.1 200 OK\r\nA: ", "x"},
	{"headers", "HTTP/1.1 200 OK\r\n", "A: x\r\n"},
	{"body without a length", "HTTP/1.1 200 OK\r\nRequest: %s\r\n\r\n", "x"},
	{"body with a huge length", "HTTP/1.1 200 OK\r\nRequest: %s\r\nContent-Length: 9223372036854775807\r\n\r\n", "x"},
	{"chunks", "HTTP/1.1 200 OK\r\nRequest: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	{"chunk size", "HTTP/1.1 200 OK\r\nRequest: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nRequest: %s\r\nTransfer-Encoding: chunked\r\n\r\n4;", "a=b;"},
	{"chunk extensions", "HTTP/1.1 200 OK\r\nRequest: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "1;a=bbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\nx\r\n"},
	{"trailers", "HTTP/1.1 200 OK\r\nRequest: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n", "A: x\r\n"},
	{"interim replies", "", "HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n"},
	{"continue", "", "HTTP/1.1 100 Continue\r\n\r\n"},
}

// TestEndlessReply guards against an upstream in trouble that sends without end: the
// attempt must fail as one that may have run, its connection must be closed and the
// memory of all such replies must stay bounded.
func TestEndlessReply(t *testing.T) {
	const concurrent = 16
	const replyMemory = 8 << 20
	defer debug.SetGCPercent(debug.SetGCPercent(10)) // what is measured is mostly in use
	for _, tt := range endlessReplies {
		t.Run(tt.name, func(t *testing.T) {
			u := startRaw(t, func(w io.Writer, id string, _ int) bool {
				start := tt.start
				if strings.Contains(start, "%s") {
					start = fmt.Sprintf(start, id)
				}
				_, _ = io.WriteString(w, start)
				endless(w, tt.repeat)
				return false
			})
			c, results := newClient(t, exchange.WithReplyMemory(replyMemory))
			peak := make(chan uint64, 1)
			stop := make(chan struct{})
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			go func() {
				highest := uint64(0)
				for {
					select {
					case <-stop:
						peak <- highest
						return
					case <-time.After(5 * time.Millisecond):
						var m runtime.MemStats
						runtime.ReadMemStats(&m)
						highest = max(highest, m.HeapAlloc-min(before.HeapAlloc, m.HeapAlloc))
					}
				}
			}()
			for i := range concurrent {
				send(c, u, uint64(i+1), fmt.Sprint("id-", i))
			}
			for range concurrent {
				if res := nextResult(t, results); res.Err == nil || !res.Err.Kind().MaybeSent() {
					t.Errorf("got %+v, want a failure of an attempt that may have run", res)
				}
			}
			close(stop)
			// Growing a buffer holds the old and the new one for a moment.
			const growth = 3
			if got := <-peak; got > growth*replyMemory {
				t.Errorf("got a peak of %d bytes, want at most %d", got, growth*replyMemory)
			}
			await(t, "connections closed", func() bool {
				conns, ended := u.counts()
				return conns == concurrent && ended == conns
			})
		})
	}
}

// TestTricklingReply guards against a reply below any sensible rate that keeps its
// connection after the attempt was cancelled at the caller's deadline.
func TestTricklingReply(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\nRequest: id\r\nContent-Length: 1000000\r\n\r\n"} {
		u := startRaw(t, func(w io.Writer, _ string, _ int) bool {
			_, err := io.WriteString(w, start)
			for err == nil {
				time.Sleep(time.Millisecond)
				_, err = io.WriteString(w, "x")
			}
			return false
		})
		c, results := newClient(t)
		send(c, u, 1, "id")
		await(t, "connected", func() bool { conns, _ := u.counts(); return conns == 1 })
		time.Sleep(20 * time.Millisecond)
		c.Cancel(1)
		await(t, "connection closed", func() bool { _, ended := u.counts(); return ended == 1 })
		if got := len(results); got != 0 {
			t.Errorf("got %d results, want none of a cancelled attempt", got)
		}
	}
}

// TestSwitchedProtocol guards against passing on a reply that ends the use of HTTP on the
// connection.
func TestSwitchedProtocol(t *testing.T) {
	u := startRaw(t, func(w io.Writer, id string, _ int) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 101 Switching Protocols\r\nRequest: %s\r\nUpgrade: x\r\n\r\nhello", id)
		return err == nil
	})
	c, results := newClient(t)
	send(c, u, 1, "id")
	if res := nextResult(t, results); res.Err == nil || res.Err.Kind() != exchange.KindInvalid {
		t.Errorf("got %+v, want an invalid reply", res)
	}
}

// TestSecondCopy guards against a late second copy of a reply that the next request on
// the connection gets as its own.
func TestSecondCopy(t *testing.T) {
	reply := func(id, body string, echo, length bool) string {
		head := "HTTP/1.1 200 OK\r\nReceipt: " + id + "\r\n"
		if echo {
			head += "Request: " + id + "\r\n"
		}
		if length {
			return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	for _, echo := range []bool{true, false} {
		for _, length := range []bool{true, false} {
			for _, when := range []string{"with the first", "before the next request", "after the next request", "same request again"} {
				t.Run(fmt.Sprintf("echo %t, length %t, %s", echo, length, when), func(t *testing.T) {
					first := make(map[io.Writer]string)
					var mu sync.Mutex
					u := startRaw(t, func(w io.Writer, id string, n int) bool {
						own := reply(id, "body of "+id, echo, length)
						mu.Lock()
						second := first[w]
						first[w] = own
						mu.Unlock()
						switch {
						case n == 1 && when == "with the first":
							own += own
						case n == 1 && when == "before the next request":
							defer func() {
								time.Sleep(20 * time.Millisecond)
								_, _ = io.WriteString(w, own)
							}()
						case n == 2:
							own = second + own
						}
						_, err := io.WriteString(w, own)
						return err == nil
					})
					c, results := newClient(t)
					for n := 1; n <= 4; n++ {
						id := fmt.Sprint("id-", n)
						if when == "same request again" {
							id = "id"
						}
						send(c, u, uint64(n), id)
						res := nextResult(t, results)
						if res.Err == nil && (string(res.Reply.Body) != "body of "+id || res.Reply.Receipt != id) {
							t.Errorf("request %d: got %q with receipt %q", n, res.Reply.Body, res.Reply.Receipt)
						}
						if n == 1 && res.Err != nil {
							t.Errorf("first request: got %v, want its reply", res.Err)
						}
						time.Sleep(5 * time.Millisecond)
						if when == "before the next request" {
							time.Sleep(30 * time.Millisecond)
						}
					}
				})
			}
		}
	}
}
