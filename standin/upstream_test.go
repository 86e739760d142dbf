package standin_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/standin"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/upstream/httpup"
)

const (
	upstreamID = upstream.ID("search/g1/a")
	longMs     = 30 * clock.Second // expires only if a test hangs
	// shortMs is a timeout that always expires; it leaves time to connect and write on a busy machine.
	shortMs = clock.Second
)

// start serves one upstream with a limit of connections and returns a client
// that may open as many as connections.
func start(t *testing.T, limit, connections int, opts ...standin.UpstreamOption) (*standin.Upstream, *httpup.Client) {
	t.Helper()
	opts = append([]standin.UpstreamOption{standin.WithServiceTime(0, 0), standin.WithRanges(1, coverage.Range{To: 10})}, opts...)
	u, err := standin.StartUpstream(t.Context(), upstream.Upstream{ID: upstreamID, ConnectionLimit: limit}, opts...)
	if err != nil {
		t.Fatal(err)
	}
	c := httpup.New(httpup.WithServices(upstream.Service{Groups: []upstream.Group{{Replicas: []upstream.Upstream{
		{ID: upstreamID, Address: u.Address(), ConnectionLimit: connections}}}}}))
	t.Cleanup(func() {
		c.Close()
		if err := u.Close(); err != nil {
			t.Error(err)
		}
	})
	return u, c
}

func query(seq uint64, timeout clock.Millis) attempt.Request {
	return attempt.Request{ID: attempt.ID{VM: "vm-1", Incarnation: 1, Seq: seq}, Upstream: string(upstreamID), Version: 1,
		Deadline: clock.System{}.Now() + timeout}
}

func order(seq uint64, name string) attempt.Request {
	req := query(seq, longMs)
	req.Kind, req.OrderID, req.Body = attempt.Order, name, []byte(name)
	return req
}

// TestUpstreamFaults guards against a fault that has no effect, or that keeps its
// effect after it was cleared.
func TestUpstreamFaults(t *testing.T) {
	tests := []struct {
		fault     string
		on, off   any
		timeout   clock.Millis
		status    attempt.Status
		execution attempt.Execution
	}{
		{"down", true, false, longMs, attempt.ConnRefused, attempt.NotExecuted},
		{"leaving", true, false, longMs, attempt.Leaving, attempt.NotExecuted},
		{"drop", 1, nil, longMs, attempt.VersionGone, attempt.NotExecuted},
		{"late_share", 1, 0, shortMs, attempt.TimedOut, attempt.ExecutionUnknown},
		{"crossed_share", 1, 0, longMs, attempt.Mismatched, attempt.ExecutionUnknown},
		{"cut_share", 1, 0, longMs, attempt.Mismatched, attempt.ExecutionUnknown},
		{"doubled_share", 1, 0, longMs, attempt.Mismatched, attempt.ExecutionUnknown},
		{"median_ms", 60_000, 0, shortMs, attempt.TimedOut, attempt.ExecutionUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			t.Parallel()
			u, c := start(t, 4, 4)
			inject(t, u, "late_ms", 30_000)
			if got := c.Send(t.Context(), query(1, longMs)); got.Status != attempt.OK {
				t.Fatalf("Send before the fault = %v, want ok", got.Status)
			}
			inject(t, u, tt.fault, tt.on)
			got := c.Send(t.Context(), query(2, tt.timeout))
			if got.Status != tt.status || got.Execution != tt.execution || len(got.Rows) > 0 {
				t.Errorf("Send = %v %v with %d rows, want %v %v", got.Status, got.Execution, len(got.Rows), tt.status, tt.execution)
			}
			if tt.off == nil {
				inject(t, u, "hold", 1)
			} else {
				inject(t, u, tt.fault, tt.off)
			}
			if got := c.Send(t.Context(), query(3, longMs)); got.Status != attempt.OK || got.Rows[0].Value != standin.RowValue(0, 1) {
				t.Errorf("Send after the fault = %+v, want ok with rows of version 1", got)
			}
		})
	}
}

type injector interface {
	Inject(name string, value any) error
}

func inject(t *testing.T, s injector, name string, value any) {
	t.Helper()
	if err := s.Inject(name, value); err != nil {
		t.Fatal(err)
	}
}

// TestReplyFaults guards against a reply to one attempt that is delivered to another.
func TestReplyFaults(t *testing.T) {
	u, c := start(t, 0, 8)
	for _, name := range []string{"crossed_share", "cut_share", "doubled_share"} {
		inject(t, u, name, 0.2)
	}
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for i := range 50 {
				name := fmt.Sprintf("%d-%d", w, i)
				got := c.Send(t.Context(), order(uint64(w*1000+i), name))
				if got.Status == attempt.OK && string(got.Body) != name {
					t.Errorf("order %s got the reply to %s", name, got.Body)
				}
				if got.Status != attempt.OK && got.Execution != attempt.ExecutionUnknown {
					t.Errorf("order %s ended %v %v, want execution unknown", name, got.Status, got.Execution)
				}
				if runs := u.Executions(name); runs != 1 {
					t.Errorf("order %s was executed %d times, want 1", name, runs)
				}
			}
		})
	}
	wg.Wait()
	if s := c.Stats(upstreamID); s.WrongAttempt == 0 || s.Malformed == 0 || s.TrailingData+s.StaleConns == 0 {
		t.Errorf("Stats = %+v, want each kind of dropped reply", s)
	}
}

// TestUpstreamLimit guards against an upstream that accepts more connections than its limit.
func TestUpstreamLimit(t *testing.T) {
	const limit = 4
	u, c := start(t, limit, 4*limit, standin.WithServiceTime(20, 0))
	var wg sync.WaitGroup
	for seq := range uint64(4 * limit) {
		wg.Go(func() {
			got := c.Send(t.Context(), query(seq, longMs))
			if got.Status != attempt.OK && got.Execution == attempt.Executed {
				t.Errorf("Send = %v %v", got.Status, got.Execution)
			}
		})
	}
	wg.Wait()
	if got := u.Connections(); got.Peak > limit || got.Peak == 0 {
		t.Errorf("Connections = %+v, want a peak from 1 to %d", got, limit)
	}
}

// TestQueue guards against an attempt that is executed although it was shed,
// cancelled or past its deadline, and against a reply that wrongly says that it
// was not executed.
func TestQueue(t *testing.T) {
	u, c := start(t, 0, 8, standin.WithWorkers(1, 1), standin.WithServiceTime(60_000, 0))
	first, queued := make(chan attempt.Reply, 1), make(chan attempt.Reply, 1)
	go func() { first <- c.Send(t.Context(), query(1, longMs)) }()
	waitLoad(t, c, func(l upstream.Load) bool { return l.Running == 1 })
	go func() { queued <- c.Send(t.Context(), order(2, "queued")) }()
	waitLoad(t, c, func(l upstream.Load) bool { return l.Queued == 1 })

	if got := c.Send(t.Context(), order(3, "shed")); got.Status != attempt.Shed || got.Execution != attempt.NotExecuted || got.RetryAfter == 0 {
		t.Errorf("Send to a full queue = %+v, want shed, not executed, with a retry-after time", got)
	}
	for _, seq := range []uint64{2, 1} {
		if err := c.Cancel(t.Context(), upstreamID, query(seq, 0).ID); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-queued; got.Status != attempt.Cancelled || got.Execution != attempt.NotExecuted {
		t.Errorf("cancelled while queued = %v %v, want cancelled, not executed", got.Status, got.Execution)
	}
	if got := <-first; got.Status != attempt.Cancelled || got.Execution != attempt.ExecutionUnknown {
		t.Errorf("cancelled while running = %v %v, want cancelled, execution unknown", got.Status, got.Execution)
	}
	if u.Executions("queued")+u.Executions("shed") != 0 || u.AttemptCounts().Started != 1 {
		t.Errorf("Counts = %+v, want one started", u.AttemptCounts())
	}
	if err := c.Cancel(t.Context(), upstreamID, query(9, 0).ID); err != nil {
		t.Errorf("Cancel of an unknown attempt = %v", err)
	}
}

func waitLoad(t *testing.T, c *httpup.Client, ok func(upstream.Load) bool) {
	t.Helper()
	for t.Context().Err() == nil {
		load, err := c.Load(t.Context(), upstreamID)
		if err != nil {
			t.Fatal(err)
		}
		if ok(load) {
			return
		}
	}
}

// TestLoadFaults guards against a load endpoint that is always correct, which would
// hide code that relies on it.
func TestLoadFaults(t *testing.T) {
	u, c := start(t, 0, 4)
	inject(t, u, "load_lag_ms", 600_000)
	for _, leaving := range []bool{false, true} {
		inject(t, u, "leaving", leaving)
		if load, err := c.Load(t.Context(), upstreamID); err != nil || load.Leaving {
			t.Errorf("Load = %+v, %v, want the stale load", load, err)
		}
	}
	inject(t, u, "load_lag_ms", 0)
	if load, err := c.Load(t.Context(), upstreamID); err != nil || !load.Leaving || load.Healthy {
		t.Errorf("Load = %+v, %v, want leaving", load, err)
	}
	inject(t, u, "load_lies", true)
	if load, err := c.Load(t.Context(), upstreamID); err != nil || load.Leaving || !load.Healthy {
		t.Errorf("Load = %+v, %v, want a healthy load", load, err)
	}
}

// TestCloseOnContextEnd guards against a server that still runs after its context
// was cancelled.
func TestCloseOnContextEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	u, err := standin.StartUpstream(ctx, upstream.Upstream{ID: upstreamID})
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := u.Close(); err != nil {
		t.Error(err)
	}
	if _, err := standin.StartUpstream(t.Context(), upstream.Upstream{ID: upstreamID, Address: "127.0.0.1:none"}); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("StartUpstream on an unusable address = %v, want kind listen", err)
	}
}
