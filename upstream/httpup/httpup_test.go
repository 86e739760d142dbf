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

// script answers one request on a raw connection; false closes the connection.
type script func(c net.Conn, doc httpup.RequestDoc) bool

// peer is a raw HTTP server, so that it can break the protocol.
type peer struct {
	address string
	open    atomic.Int64
	peak    atomic.Int64
	closed  chan struct{} // one value for each connection that ended
}

func serve(t *testing.T, answer script) *peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{address: ln.Addr().String(), closed: make(chan struct{}, 1000)}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { p.connection(c, answer) })
		}
	})
	t.Cleanup(func() { _ = ln.Close(); wg.Wait() })
	return p
}

func (p *peer) connection(c net.Conn, answer script) {
	for n, peak := p.open.Add(1), p.peak.Load(); n > peak && !p.peak.CompareAndSwap(peak, n); peak = p.peak.Load() {
	}
	defer func() { p.open.Add(-1); _ = c.Close(); p.closed <- struct{}{} }()
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

func head(length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
}

func whole(status string, ran attempt.Execution, at attempt.ID) string {
	b, _ := json.Marshal(httpup.ReplyDoc{Attempt: at, Status: status, Execution: ran, HeldVersions: []uint64{1},
		Rows: []coverage.Row{{Key: 1, Value: at.String()}}})
	return head(len(b)) + string(b)
}

func write(text func(attempt.ID) string, keep bool) script {
	return func(c net.Conn, doc httpup.RequestDoc) bool {
		_, err := io.WriteString(c, text(doc.Attempt))
		return keep && err == nil
	}
}

func client(t *testing.T, address string) *httpup.Client {
	t.Helper()
	c := httpup.New(httpup.WithMaxReplyBytes(replyBytes), httpup.WithServices(upstream.Service{Groups: []upstream.Group{
		{Replicas: []upstream.Upstream{{ID: id, Address: address, ConnectionLimit: limit}}}}}))
	t.Cleanup(c.Close)
	return c
}

func request(seq uint64, budget clock.Millis) attempt.Request {
	return attempt.Request{ID: attempt.ID{VM: "vm-1", Incarnation: 1, Seq: seq}, Upstream: id, Deadline: clock.System{}.Now() + budget}
}

// TestSendStatus guards against a wrong claim about whether work ran, and
// against a connection that is kept after a reply that cannot be trusted.
func TestSendStatus(t *testing.T) {
	ok := func(at attempt.ID) string { return whole("ok", attempt.Executed, at) }
	reply := func(status string, ran attempt.Execution) script {
		return write(func(at attempt.ID) string { return whole(status, ran, at) }, true)
	}
	text := func(s string) script { return write(func(attempt.ID) string { return s }, true) }
	tests := []struct {
		name   string
		answer script
		budget clock.Millis
		status attempt.Status
		ran    attempt.Execution
		closes bool
	}{
		{"ok", reply("ok", attempt.Executed), longMs, attempt.OK, attempt.Executed, false},
		{"version gone", reply("version_gone", attempt.NotExecuted), longMs, attempt.VersionGone, attempt.NotExecuted, false},
		{"shed", reply("shed", attempt.NotExecuted), longMs, attempt.Shed, attempt.NotExecuted, false},
		{"leaving", reply("leaving", attempt.NotExecuted), longMs, attempt.Leaving, attempt.NotExecuted, false},
		{"expired before it started", reply("expired", attempt.NotExecuted), longMs, attempt.TimedOut, attempt.NotExecuted, false},
		{"expired while it ran", reply("expired", attempt.ExecutionUnknown), longMs, attempt.TimedOut, attempt.ExecutionUnknown, false},
		{"cancelled before it started", reply("cancelled", attempt.NotExecuted), longMs, attempt.Cancelled, attempt.NotExecuted, false},
		{"cancelled while it ran", reply("cancelled", attempt.ExecutionUnknown), longMs, attempt.Cancelled, attempt.ExecutionUnknown, false},
		{"ok that did not run", reply("ok", attempt.NotExecuted), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"shed that ran", reply("shed", attempt.Executed), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"unknown status", reply("fine", attempt.Executed), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"another attempt", write(func(at attempt.ID) string { at.Seq++; return ok(at) }, true), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"doubled", write(func(at attempt.ID) string { return ok(at) + ok(at) }, true), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"cut body", write(func(at attempt.ID) string { s := ok(at); return s[:len(s)-3] }, false), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"cut head", write(func(attempt.ID) string { return "HTTP/1.1 200 OK\r\nContent-" }, false), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"not JSON", text(head(3) + "{]}"), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"no length", text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"no body", text("HTTP/1.1 204 No Content\r\n\r\n"), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"oversized", text(head(replyBytes+1) + strings.Repeat("x", replyBytes+1)), longMs, attempt.Mismatched, attempt.ExecutionUnknown, true},
		{"HTTP error", text("HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\n{}"), longMs, attempt.Failed, attempt.ExecutionUnknown, true},
		{"closed without a reply", func(net.Conn, httpup.RequestDoc) bool { return false }, longMs, attempt.Failed, attempt.ExecutionUnknown, true},
		{"no reply", func(net.Conn, httpup.RequestDoc) bool { return true }, shortMs, attempt.TimedOut, attempt.ExecutionUnknown, true},
		{"half a reply", text(head(10) + "{"), shortMs, attempt.TimedOut, attempt.ExecutionUnknown, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := serve(t, tt.answer)
			c := client(t, p.address)
			req := request(1, tt.budget)
			got := c.Send(t.Context(), req)
			if got.Status != tt.status || got.Execution != tt.ran || got.ID != req.ID || got.Upstream != id {
				t.Errorf("Send = %+v, want status %v, ran %v", got, tt.status, tt.ran)
			}
			if got.Status == attempt.Mismatched && (got.Rows != nil || got.Body != nil) {
				t.Errorf("mismatched reply delivers %v %q", got.Rows, got.Body)
			}
			if tt.closes {
				<-p.closed // hangs until the test times out if the connection is kept
			}
			if open := c.Stats(id).OpenConns; tt.closes && open != 0 {
				t.Errorf("got %d open connections, want 0", open)
			}
		})
	}
}

// refusing returns an address that refuses connections. It is the local end of
// an open connection, so no other process can listen on it meanwhile.
func refusing(t *testing.T) string {
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

// TestSendNotSent guards against an unknown result where nothing was sent.
func TestSendNotSent(t *testing.T) {
	address := refusing(t)
	done, cancel := context.WithCancel(t.Context())
	cancel()
	other := request(1, longMs)
	other.Upstream = "search/g1/z"
	tests := []struct {
		name        string
		ctx         context.Context
		req         attempt.Request
		connections int
		want        attempt.Status
	}{
		{"connection refused", t.Context(), request(1, longMs), limit, attempt.ConnRefused},
		{"deadline passed", t.Context(), request(1, -1), limit, attempt.NotSent},
		{"context done", done, request(1, longMs), limit, attempt.NotSent},
		{"no connection allowed", t.Context(), request(1, longMs), 0, attempt.NotSent},
		{"unknown upstream", t.Context(), other, limit, attempt.NotSent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := client(t, address)
			c.SetConnectionLimit(id, tt.connections)
			if got := c.Send(tt.ctx, tt.req); got.Status != tt.want || got.Execution != attempt.NotExecuted {
				t.Errorf("Send = %v %v, want %v no", got.Status, got.Execution, tt.want)
			}
		})
	}
}

// TestLateSecondReply guards against a second reply that is delivered to the
// next request, and against a request repeated after it was written.
func TestLateSecondReply(t *testing.T) {
	var runs atomic.Int64
	p := serve(t, func(c net.Conn, doc httpup.RequestDoc) bool {
		runs.Add(1)
		one := whole("ok", attempt.Executed, doc.Attempt)
		_, _ = io.WriteString(c, one)
		_, err := io.WriteString(c, one)
		return err == nil
	})
	c := client(t, p.address)
	const sends = 200
	for seq := range uint64(sends) {
		req := request(seq, longMs)
		got := c.Send(t.Context(), req)
		for _, row := range got.Rows {
			if row.Value != req.ID.String() {
				t.Fatalf("attempt %s got the reply to %s", req.ID, row.Value)
			}
		}
	}
	if got := runs.Load(); got > sends {
		t.Errorf("upstream saw %d requests, want at most %d", got, sends)
	}
	if s := c.Stats(id); s.TrailingData+s.StaleConns+s.WrongAttempt == 0 {
		t.Errorf("Stats = %+v, want dropped replies counted", s)
	}
}

// TestConnectionLimit guards against more open connections than allowed.
func TestConnectionLimit(t *testing.T) {
	p := serve(t, write(func(at attempt.ID) string { return whole("ok", attempt.Executed, at) }, true))
	c := client(t, p.address)
	var wg sync.WaitGroup
	for seq := range uint64(64) {
		wg.Go(func() {
			got := c.Send(t.Context(), request(seq, longMs))
			if got.Status != attempt.OK && (got.Status != attempt.NotSent || got.Execution != attempt.NotExecuted) {
				t.Errorf("Send = %v %v, want ok or not_sent no", got.Status, got.Execution)
			}
		})
	}
	wg.Wait()
	if got := p.peak.Load(); got > limit {
		t.Errorf("upstream saw %d connections at once, want at most %d", got, limit)
	}
	if got := c.Stats(id).OpenedConns; got == 0 || got > limit {
		t.Errorf("client opened %d connections, want 1 to %d", got, limit)
	}
}

// FuzzDecodeReply guards against a panic and against a reply to another attempt.
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
