package exchange_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/exchange"
)

// waitLimit bounds every wait; no figure depends on it.
const waitLimit = 20 * time.Second

var headers = exchange.Headers{RequestID: "Request", DeadlineMs: "Deadline", ExpectInstance: "Instance", Receipt: "Receipt", NotRun: "Not-Run"}

// rig is a client and an upstream that counts its connections.
type rig struct {
	client  *exchange.Client
	clock   *clock.Manual
	results chan exchange.Result
	open    atomic.Int64
	opened  atomic.Int64
	address string
	next    uint64
}

func newRig(t *testing.T, h http.HandlerFunc) *rig {
	t.Helper()
	r := &rig{clock: clock.NewManual(1000), results: make(chan exchange.Result, 16)}
	server := httptest.NewUnstartedServer(h)
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			r.open.Add(1)
			r.opened.Add(1)
		case http.StateClosed, http.StateHijacked:
			r.open.Add(-1)
		}
	}
	server.Start()
	r.address = server.Listener.Addr().String()
	r.client = exchange.New(func(res exchange.Result) { r.results <- res }, exchange.WithHeaders(headers), exchange.WithClock(r.clock))
	ctx, stop := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- r.client.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-end; err != nil {
			t.Errorf("run: got %v, want nil", err)
		}
		server.Close()
	})
	return r
}

func (r *rig) call(t *testing.T, fresh bool) exchange.Result {
	t.Helper()
	r.next++
	req := exchange.NewRequest(headers, http.MethodGet, "/p", "h", "id", nil, nil)
	r.client.Send(exchange.Call{Attempt: r.next, Upstream: "u", Address: r.address, Request: req, RemainingMs: 100, NonIdempotent: fresh})
	select {
	case res := <-r.results:
		return res
	case <-time.After(waitLimit):
		t.Fatal("got no result")
		return exchange.Result{}
	}
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", what, waitLimit)
		}
	}
}

func answer(w http.ResponseWriter, r *http.Request) {
	w.Header()["Request"] = r.Header["Request"]
	w.Header().Set("Receipt", "x")
	w.Header().Set("Keep-Alive", "timeout=10")
	_, _ = w.Write([]byte("body"))
}

// TestConnections guards against a connection for each request, and against
// connections that a VM keeps although it has no more work: upstreams bound
// those of all VMs together.
func TestConnections(t *testing.T) {
	r := newRig(t, answer)
	for range 10 {
		if res := r.call(t, false); res.Err != nil || string(res.Reply.Body) != "body" || res.Reply.Receipt != "x" {
			t.Fatalf("got %+v, want the reply", res)
		}
	}
	if got := r.opened.Load(); got != 1 {
		t.Errorf("got %d connections for 10 requests in turn, want 1", got)
	}
	r.clock.Advance(8 * clock.Second)
	await(t, "idle connection closed", func() bool { return r.open.Load() == 0 })
}

// TestFresh guards against a request that must not repeat on a connection that
// the upstream may be about to close.
func TestFresh(t *testing.T) {
	r := newRig(t, answer)
	r.call(t, false)
	r.clock.Advance(500)
	r.call(t, true)
	if got := r.opened.Load(); got != 2 {
		t.Errorf("got %d connections, want a new one", got)
	}
	r.clock.Advance(100)
	r.call(t, true)
	if got := r.opened.Load(); got != 2 {
		t.Errorf("got %d connections, want the recent one again", got)
	}
}

// TestCancel guards against work that goes on at the upstream after its attempt was cancelled.
func TestCancel(t *testing.T) {
	begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	r := newRig(t, func(_ http.ResponseWriter, req *http.Request) {
		begun <- struct{}{}
		<-req.Context().Done()
		ended <- struct{}{}
	})
	req := exchange.NewRequest(headers, http.MethodGet, "/p", "h", "id", nil, nil)
	r.client.Send(exchange.Call{Attempt: 1, Upstream: "u", Address: r.address, Request: req, RemainingMs: 100})
	await(t, "begun", func() bool { return len(begun) == 1 })
	r.client.Cancel(1)
	await(t, "ended", func() bool { return len(ended) == 1 })
	if got := len(r.results); got != 0 {
		t.Errorf("got %d results after the cancel, want none", got)
	}
}

// TestRefusedConnection guards against a refused connection that counts as sent.
func TestRefusedConnection(t *testing.T) {
	r := newRig(t, answer)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = lis.Addr().String()
	if err := lis.Close(); err != nil {
		t.Fatal(err)
	}
	if res := r.call(t, false); res.Err == nil || res.Err.Kind() != exchange.KindDial || res.Err.Kind().MaybeSent() {
		t.Errorf("got %v, want a dial failure that proves that nothing was sent", res.Err)
	}
}
