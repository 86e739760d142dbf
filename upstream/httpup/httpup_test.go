package httpup_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/upstream/httpup"
)

const (
	id         = "search/g1/a"
	longMs     = 10 * clock.Second // never reached unless a test hangs
	shortMs    = clock.Second      // always reached; long enough to connect and write on a busy machine
	limit      = 4
	replyBytes = 4096
)

// replyFunc writes the reply to one request on a raw connection. If it returns
// false, the connection is closed.
type replyFunc func(c net.Conn, doc httpup.RequestDoc) bool

// rawServer is an HTTP server that writes raw bytes, so that it can violate the protocol.
type rawServer struct {
	address string
	open    atomic.Int64
	peak    atomic.Int64
	closed  chan struct{} // receives one value for each connection that was closed
}

func serve(t *testing.T, answer replyFunc) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{address: ln.Addr().String(), closed: make(chan struct{}, 1000)}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { s.serveConn(c, answer) })
		}
	})
	t.Cleanup(func() { _ = ln.Close(); wg.Wait() })
	return s
}

func (s *rawServer) serveConn(c net.Conn, answer replyFunc) {
	for n, peak := s.open.Add(1), s.peak.Load(); n > peak && !s.peak.CompareAndSwap(peak, n); peak = s.peak.Load() {
	}
	defer func() { s.open.Add(-1); _ = c.Close(); s.closed <- struct{}{} }()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var doc httpup.RequestDoc
		if err := json.NewDecoder(req.Body).Decode(&doc); err != nil || !answer(c, doc) {
			return
		}
	}
}

func replyHeader(length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
}

func encodeReply(status string, execution attempt.Execution, attemptID attempt.ID) string {
	b, _ := json.Marshal(httpup.ReplyDoc{Attempt: attemptID, Status: status, Execution: execution, HeldVersions: []uint64{1},
		Rows: []coverage.Row{{Key: 1, Value: attemptID.String()}}})
	return replyHeader(len(b)) + string(b)
}

func replyWith(replyText func(attempt.ID) string, keepOpen bool) replyFunc {
	return func(c net.Conn, doc httpup.RequestDoc) bool {
		_, err := io.WriteString(c, replyText(doc.Attempt))
		return keepOpen && err == nil
	}
}

func newClient(t *testing.T, address string) *httpup.Client {
	t.Helper()
	c := httpup.New(httpup.WithMaxReplyBytes(replyBytes), httpup.WithServices(upstream.Service{Groups: []upstream.Group{
		{Replicas: []upstream.Upstream{{ID: id, Address: address, ConnectionLimit: limit}}}}}))
	t.Cleanup(c.Close)
	return c
}

func newRequest(seq uint64, timeout clock.Millis) attempt.Request {
	return attempt.Request{ID: attempt.ID{VM: "vm-1", Incarnation: 1, Seq: seq}, Upstream: id, Deadline: clock.System{}.Now() + timeout}
}

// TestSendStatus guards against a wrong status or execution state, and against
// reuse of a connection after an invalid reply.
func TestSendStatus(t *testing.T) {
	ok := func(attemptID attempt.ID) string { return encodeReply("ok", attempt.Executed, attemptID) }
	reply := func(status string, execution attempt.Execution) replyFunc {
		return replyWith(func(attemptID attempt.ID) string { return encodeReply(status, execution, attemptID) }, true)
	}
	text := func(s string) replyFunc { return replyWith(func(attempt.ID) string { return s }, true) }
	tests := []struct {
		name       string
		answer     replyFunc
		timeout    clock.Millis
		status     attempt.Status
		execution  attempt.Execution
		closesConn bool
	}{
		{"ok", reply("ok", attempt.Executed), longMs, attempt.OK, attempt.Executed, false},
		{"version gone", reply("version_gone", attempt.NotExecuted), longMs, attempt.VersionGone, attempt.NotExecuted, false},
		{"shed", reply("shed", attempt.NotExecuted), longMs, attempt.Shed, attempt.NotExecuted, false},
		{"leaving", reply("leaving", attempt.NotExecuted), longMs, attempt.Leaving, attempt.NotExecuted, false},
		{"expired before it started", reply("expired", attempt.NotExecuted), longMs, attempt.TimedOut, attempt.NotExecuted, false},
		{"expired while it ran", reply("expired", attempt.ExecutionUnknown), longMs, attempt.TimedOut, attempt.ExecutionUnknown, false},
		{"cancelled before it started", reply("cancelled", attempt.NotExecuted), longMs, attempt.Cancelled, attempt.NotExecuted, false},
		{"cancelled while it ran", reply("cancelled", attempt.ExecutionUnknown), longMs, attempt.Cancelled, attempt.ExecutionUnknown, false},
		{"ok but not executed", reply("ok", attempt.NotExecuted), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"shed but executed", reply("shed", attempt.Executed), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"unknown status", reply("fine", attempt.Executed), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"another attempt", replyWith(func(attemptID attempt.ID) string { attemptID.Seq++; return ok(attemptID) }, true), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"doubled", replyWith(func(attemptID attempt.ID) string { return ok(attemptID) + ok(attemptID) }, true), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"truncated body", replyWith(func(attemptID attempt.ID) string { s := ok(attemptID); return s[:len(s)-3] }, false), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"truncated header", replyWith(func(attempt.ID) string { return "HTTP/1.1 200 OK\r\nContent-" }, false), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"not JSON", text(replyHeader(3) + "{]}"), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"no length", text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"no body", text("HTTP/1.1 204 No Content\r\n\r\n"), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"oversized", text(replyHeader(replyBytes+1) + strings.Repeat("x", replyBytes+1)), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"HTTP error", text("HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\n{}"), longMs, attempt.Failed, attempt.ExecutionUnknown, true},
		{"closed without a reply", func(net.Conn, httpup.RequestDoc) bool { return false }, longMs, attempt.Failed, attempt.ExecutionUnknown, true},
		{"no reply", func(net.Conn, httpup.RequestDoc) bool { return true }, shortMs, attempt.TimedOut, attempt.ExecutionUnknown, true},
		{"incomplete reply", text(replyHeader(10) + "{"), shortMs, attempt.TimedOut, attempt.ExecutionUnknown, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, tt.answer)
			c := newClient(t, s.address)
			req := newRequest(1, tt.timeout)
			got := c.Send(t.Context(), req)
			if got.Status != tt.status || got.Execution != tt.execution || got.ID != req.ID || got.Upstream != id {
				t.Errorf("Send = %+v, want status %v, execution state %v", got, tt.status, tt.execution)
			}
			if got.Status == attempt.Mismatched && (got.Rows != nil || got.Body != nil) {
				t.Errorf("mismatched reply delivers %v %q", got.Rows, got.Body)
			}
			if tt.closesConn {
				<-s.closed // hangs until the test times out if the connection is kept
			}
			if open := c.Stats(id).OpenConns; tt.closesConn && open != 0 {
				t.Errorf("got %d open connections, want 0", open)
			}
		})
	}
}

// refusedAddress returns an address that refuses connections. It is the local
// address of an open connection, so no other process can listen on it meanwhile.
func refusedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(); _ = ln.Close() })
	return c.LocalAddr().String()
}

// TestSendNotSent guards against the execution state unknown where nothing was sent.
func TestSendNotSent(t *testing.T) {
	address := refusedAddress(t)
	done, cancel := context.WithCancel(t.Context())
	cancel()
	other := newRequest(1, longMs)
	other.Upstream = "search/g1/z"
	tests := []struct {
		name        string
		ctx         context.Context
		req         attempt.Request
		connections int
		want        attempt.Status
	}{
		{"connection refused", t.Context(), newRequest(1, longMs), limit, attempt.ConnRefused},
		{"deadline passed", t.Context(), newRequest(1, -1), limit, attempt.NotSent},
		{"context done", done, newRequest(1, longMs), limit, attempt.NotSent},
		{"no connection allowed", t.Context(), newRequest(1, longMs), 0, attempt.NotSent},
		{"unknown upstream", t.Context(), other, limit, attempt.NotSent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newClient(t, address)
			c.SetConnectionLimit(id, tt.connections)
			if got := c.Send(tt.ctx, tt.req); got.Status != tt.want || got.Execution != attempt.NotExecuted {
				t.Errorf("Send = %v %v, want %v no", got.Status, got.Execution, tt.want)
			}
		})
	}
}

// TestLateSecondReply guards against a late second reply that is matched to the
// next request, and against a request that is sent again after it was written.
func TestLateSecondReply(t *testing.T) {
	var requests atomic.Int64
	s := serve(t, func(c net.Conn, doc httpup.RequestDoc) bool {
		requests.Add(1)
		reply := encodeReply("ok", attempt.Executed, doc.Attempt)
		_, _ = io.WriteString(c, reply)
		_, err := io.WriteString(c, reply)
		return err == nil
	})
	c := newClient(t, s.address)
	const sends = 200
	for seq := range uint64(sends) {
		req := newRequest(seq, longMs)
		got := c.Send(t.Context(), req)
		for _, row := range got.Rows {
			if row.Value != req.ID.String() {
				t.Fatalf("attempt %s got the reply to %s", req.ID, row.Value)
			}
		}
	}
	if got := requests.Load(); got > sends {
		t.Errorf("upstream saw %d requests, want at most %d", got, sends)
	}
	if stats := c.Stats(id); stats.TrailingData+stats.StaleConns+stats.WrongAttempt == 0 {
		t.Errorf("Stats = %+v, want dropped replies counted", stats)
	}
}

// TestConnectionLimit guards against more open connections than allowed.
func TestConnectionLimit(t *testing.T) {
	s := serve(t, replyWith(func(attemptID attempt.ID) string { return encodeReply("ok", attempt.Executed, attemptID) }, true))
	c := newClient(t, s.address)
	var wg sync.WaitGroup
	for seq := range uint64(64) {
		wg.Go(func() {
			got := c.Send(t.Context(), newRequest(seq, longMs))
			if got.Status != attempt.OK && (got.Status != attempt.NotSent || got.Execution != attempt.NotExecuted) {
				t.Errorf("Send = %v %v, want ok or not_sent no", got.Status, got.Execution)
			}
		})
	}
	wg.Wait()
	if got := s.peak.Load(); got > limit {
		t.Errorf("upstream saw %d connections at once, want at most %d", got, limit)
	}
	if got := c.Stats(id).OpenedConns; got == 0 || got > limit {
		t.Errorf("client opened %d connections, want 1 to %d", got, limit)
	}
}

// FuzzDecodeReply guards against a panic, against acceptance of a reply to another
// attempt, and against an ok reply that was not executed.
func FuzzDecodeReply(f *testing.F) {
	want := attempt.ID{VM: "vm-1", Incarnation: 1, Seq: 7}
	f.Add([]byte(`{"attempt":{"vm":"vm-1","incarnation":1,"seq":7},"status":"ok","ran":"yes","ranges":[{"from":0,"to":1}]}`))
	f.Add([]byte(`{"attempt":{"vm":"vm-2","incarnation":1,"seq":7},"status":"ok","ran":"yes"}`))
	f.Add([]byte(`{"attempt":{"vm":"vm-1","incarnation":1,"seq":7},"status":"shed","ran":"yes"}`))
	f.Add([]byte(`{"attempt":`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := httpup.DecodeReply(want, data)
		if err == nil && got.ID != want {
			t.Errorf("got a reply to %s, want %s", got.ID, want)
		}
		if err == nil && got.Status == attempt.OK && got.Execution != attempt.Executed {
			t.Errorf("got an ok reply with ran %s", got.Execution)
		}
	})
}
