package exchange_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/exchange"
)

// waitLimit bounds every wait. No assertion depends on its value.
const waitLimit = 20 * time.Second

var headers = exchange.Headers{RequestID: "Request", DeadlineMs: "Deadline", ExpectInstance: "Instance", Receipt: "Receipt", NotRun: "Not-Run"}

// fixture is a Client and an upstream server that counts its connections.
type fixture struct {
	client      *exchange.Client
	clock       *clock.Manual
	results     chan exchange.Result
	openConns   atomic.Int64
	totalConns  atomic.Int64
	address     string
	lastAttempt uint64
}

func newFixture(t *testing.T, h http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{clock: clock.NewManual(1000), results: make(chan exchange.Result, 16)}
	server := httptest.NewUnstartedServer(h)
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			f.openConns.Add(1)
			f.totalConns.Add(1)
		case http.StateClosed, http.StateHijacked:
			f.openConns.Add(-1)
		}
	}
	server.Start()
	f.address = server.Listener.Addr().String()
	f.client = exchange.New(func(res exchange.Result) { f.results <- res }, exchange.WithHeaders(headers), exchange.WithClock(f.clock))
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- f.client.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-runErr; err != nil {
			t.Errorf("run: got %v, want nil", err)
		}
		server.Close()
	})
	return f
}

func (f *fixture) call(t *testing.T, nonIdempotent bool) exchange.Result {
	t.Helper()
	f.lastAttempt++
	req := exchange.NewRequest(headers, http.MethodGet, "/p", "h", fmt.Sprint("id-", f.lastAttempt), nil, nil)
	f.client.Send(exchange.Call{Attempt: f.lastAttempt, Upstream: "u", Address: f.address, Request: req, RemainingMs: 100, NonIdempotent: nonIdempotent})
	select {
	case res := <-f.results:
		return res
	case <-time.After(waitLimit):
		t.Fatal("got no result")
		return exchange.Result{}
	}
}

func await(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: condition not met within %s", condition, waitLimit)
		}
	}
}

func answer(w http.ResponseWriter, r *http.Request) {
	w.Header()["Request"] = r.Header["Request"]
	w.Header().Set("Receipt", "x")
	w.Header().Set("Keep-Alive", "timeout=10")
	_, _ = w.Write([]byte("body"))
}

// TestConnectionReuseAndIdleClose guards against a new connection for each
// request, and against idle connections that are never closed: upstreams limit the
// connections of all VMs together.
func TestConnectionReuseAndIdleClose(t *testing.T) {
	f := newFixture(t, answer)
	for range 10 {
		if res := f.call(t, false); res.Err != nil || string(res.Reply.Body) != "body" || res.Reply.Receipt != "x" {
			t.Fatalf("got %+v, want the reply", res)
		}
	}
	if got := f.totalConns.Load(); got != 1 {
		t.Errorf("got %d connections for 10 requests in turn, want 1", got)
	}
	f.clock.Advance(8 * clock.Second)
	await(t, "idle connection closed", func() bool { return f.openConns.Load() == 0 })
}

// TestNonIdempotentUsesRecentConnection guards against sending a request that is not
// idempotent on a connection that the upstream may be about to close.
func TestNonIdempotentUsesRecentConnection(t *testing.T) {
	f := newFixture(t, answer)
	f.call(t, false)
	f.clock.Advance(500)
	f.call(t, true)
	if got := f.totalConns.Load(); got != 2 {
		t.Errorf("got %d connections, want a new one", got)
	}
	f.clock.Advance(100)
	f.call(t, true)
	if got := f.totalConns.Load(); got != 2 {
		t.Errorf("got %d connections, want the recent one again", got)
	}
}

// TestCancelStopsUpstreamWork guards against an upstream that goes on working on a
// cancelled request, because its connection stays open.
func TestCancelStopsUpstreamWork(t *testing.T) {
	started, cancelled := make(chan struct{}, 1), make(chan struct{}, 1)
	f := newFixture(t, func(_ http.ResponseWriter, req *http.Request) {
		started <- struct{}{}
		<-req.Context().Done()
		cancelled <- struct{}{}
	})
	req := exchange.NewRequest(headers, http.MethodGet, "/p", "h", "id", nil, nil)
	f.client.Send(exchange.Call{Attempt: 1, Upstream: "u", Address: f.address, Request: req, RemainingMs: 100})
	await(t, "request started at the upstream", func() bool { return len(started) == 1 })
	f.client.Cancel(1)
	await(t, "request cancelled at the upstream", func() bool { return len(cancelled) == 1 })
	if got := len(f.results); got != 0 {
		t.Errorf("got %d results after the cancel, want none", got)
	}
}

// TestRefusedConnectionNotSent guards against a request that is reported as possibly
// sent, although its connection was refused.
func TestRefusedConnectionNotSent(t *testing.T) {
	f := newFixture(t, answer)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = lis.Addr().String()
	if err := lis.Close(); err != nil {
		t.Fatal(err)
	}
	if res := f.call(t, false); res.Err == nil || res.Err.Kind() != exchange.KindDial || res.Err.Kind().MaybeSent() {
		t.Errorf("got %v, want KindDial, without a byte sent", res.Err)
	}
}
