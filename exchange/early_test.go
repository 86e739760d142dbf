package exchange_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"lentillink.example/lentillink/exchange"
)

// earlyUpstream answers a request once it has read its head, and reads nothing more on the
// connection until resume is closed.
type earlyUpstream struct {
	lis      net.Listener
	resume   chan struct{}
	accepted chan struct{} // one value for each connection
}

func startEarly(t *testing.T) *earlyUpstream {
	t.Helper()
	const bufferBytes = 4 << 10
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
		})
	}}
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &earlyUpstream{lis: lis, resume: make(chan struct{}), accepted: make(chan struct{}, 64)}
	go func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			u.accepted <- struct{}{}
			go u.serve(nc)
		}
	}()
	t.Cleanup(func() { _ = lis.Close() })
	return u
}

func (u *earlyUpstream) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	// One byte at a time, so that the body stays in the socket.
	var head []byte
	for b := make([]byte, 1); !bytes.HasSuffix(head, []byte("\r\n\r\n")); {
		if _, err := nc.Read(b); err != nil {
			return
		}
		head = append(head, b...)
	}
	_, rest, _ := bytes.Cut(head, []byte("Request: "))
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	time.Sleep(50 * time.Millisecond) // the whole body is written
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nReceipt: x\r\nRequest: %s\r\nContent-Length: 2\r\n\r\nok", id)
	<-u.resume
	_, _ = io.Copy(io.Discard, nc)
}

// capacity returns about how many bytes a connection takes of which the other side reads none.
func (u *earlyUpstream) capacity(t *testing.T) int {
	t.Helper()
	nc, err := net.Dial("tcp", u.lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	<-u.accepted
	total := 0
	for {
		_ = nc.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		n, err := nc.Write([]byte("x"))
		total += n
		if err != nil {
			return total
		}
		n, err = nc.Write(make([]byte, 1<<10))
		total += n
		if err != nil {
			return total
		}
	}
}

// TestUnreadBody guards against a connection whose last request the upstream has not read,
// although it has answered it: the next request on it made Send wait, and with it whoever
// sends to other upstreams.
func TestUnreadBody(t *testing.T) {
	u := startEarly(t)
	defer close(u.resume)
	sound := startRaw(t, func(w io.Writer, id string, _ int) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nReceipt: x\r\nRequest: %s\r\nContent-Length: 2\r\n\r\nok", id)
		return err == nil
	})
	room := u.capacity(t)
	c, results := newClient(t)
	address := u.lis.Addr().String()
	attempt := uint64(0)
	for _, left := range []int{1 << 10, 4 << 10, 16 << 10, 64 << 10} {
		body := make([]byte, max(room-left, 16<<10))
		attempt++
		c.Send(exchange.Call{
			Attempt: attempt, Upstream: "early", Address: address, RemainingMs: 5000,
			Request: exchange.NewRequest(headers, http.MethodPost, "/p", "h", fmt.Sprint("long-", attempt), nil, body),
		})
		if res := nextResult(t, results); res.Err != nil {
			t.Fatalf("long request: got %v, want a reply", res.Err)
		}
		for range 3 {
			attempt++
			begin := time.Now()
			c.Send(exchange.Call{
				Attempt: attempt, Upstream: "early", Address: address, RemainingMs: 5000,
				Request: exchange.NewRequest(headers, http.MethodPost, "/p", "h", fmt.Sprint("short-", attempt), nil, make([]byte, 7<<10)),
			})
			attempt++
			send(c, sound, attempt, fmt.Sprint("sound-", attempt))
			if took := time.Since(begin); took > 200*time.Millisecond {
				t.Fatalf("%d bytes left in the buffer: got %s until two requests were sent, want less than 200 ms", left, took)
			}
			for range 2 {
				if res := nextResult(t, results); res.Err != nil {
					t.Errorf("short request: got %v, want a reply", res.Err)
				}
			}
		}
	}
}
