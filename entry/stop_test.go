package entry_test

import (
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

// TestPlannedStop guards against a planned stop that aborts requests in flight, or
// that is not visible to the balancer and the other VMs.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, entry.WithBalancerWait(2000))
	injectFault(t, f, "search", "median_ms", 300)
	injectFault(t, f, "orders", "median_ms", 300)
	answers := newOrderAnswers()
	var inFlight atomic.Int32 // requests in flight on the VM that stops
	var queries, complete atomic.Int32
	var wait sync.WaitGroup
	for w := range 12 {
		wait.Go(func() {
			for f.Caller(0).Ready() { // the balancer sends requests only to ready VMs
				inFlight.Add(1)
				if w%2 == 0 {
					o := newOrder()
					a, err := f.Caller(0).Order(o)
					if err != nil {
						t.Errorf("order received no answer: %v", err)
					}
					answers.add(o.ID, a, err)
				} else {
					q := newQuery()
					a, err := f.Caller(0).Query(q)
					if err == nil {
						err = checkQuery(q, a)
					}
					if err != nil {
						t.Errorf("query received no or a wrong answer: %v", err)
					}
					queries.Add(1)
					if a.Outcome == "complete" {
						complete.Add(1)
					}
				}
				inFlight.Add(-1)
			}
		})
	}
	waitFor(t, "requests are in flight", func() bool { return queries.Load() > 12 && inFlight.Load() >= 8 })
	stopErr := make(chan error, 1)
	go func() { stopErr <- f.Stop(0) }()
	waitFor(t, "the VM is not ready", func() bool { return !f.Caller(0).Ready() })
	if inFlight.Load() == 0 {
		t.Error("/readyz returned 503 only after all requests had ended")
	}
	waitFor(t, "the other VMs no longer list it as alive", func() bool {
		return memberState(f, 1, "vm-1") != fleet.Alive && memberState(f, 2, "vm-1") != fleet.Alive
	})
	wait.Wait()
	select {
	case err := <-stopErr:
		if err != nil {
			t.Errorf("Run: %v, want nil", err)
		}
	case <-time.After(35 * time.Second): // the drain limit of 30 s and some slack
		t.Error("the stop took longer than the drain limit")
	}
	answers.check(t, f)
	if q, c := queries.Load(), complete.Load(); c < q-3 {
		t.Errorf("%d of %d queries are complete; a draining VM may refuse only queries that arrive after the drain began", c, q)
	}
}

// TestLeavingUpstream guards against attempts to a leaving upstream from VMs that
// have not received a reply from it since it began to leave.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 7)
	for vm := range f.Size() {
		requireComplete(t, f, vm)
	}
	id := upstream.ID("search/app-04/b")
	injectFault(t, f, string(id), "leaving", true)
	left := time.Now()
	requireComplete(t, f, 0) // this VM may detect that the upstream is leaving
	time.Sleep(time.Until(left.Add(3 * time.Second)))
	up := f.Standins.Upstream(id)
	before := up.AttemptCounts().Received
	for n := range 10 * f.Size() {
		requireComplete(t, f, n)
	}
	if got := up.AttemptCounts().Received; got != before {
		t.Errorf("the leaving upstream received %d more attempts after 3 s, want 0", got-before)
	}
}

// TestStopDuringOutage guards against a planned stop that fails only because the
// store is down and cannot mark answered orders as done.
func TestStopDuringOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, entry.WithDrainLimit(3000))
	for range 5 {
		if a, err := f.Caller(0).Order(newOrder()); err != nil || a.Outcome != "done" {
			t.Fatalf("got %+v, %v, want done", a, err)
		}
	}
	injectFault(t, f, "store", "down", true)
	if err := f.Stop(0); err != nil {
		t.Errorf("Run: %v, want nil", err)
	}
}

// TestRefusedWhileStopping guards against requests that are dropped or executed
// when they arrive during a drain, and against refusals by admission control that
// the time line does not show under the request's id.
func TestRefusedWhileStopping(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, entry.WithBalancerWait(5000))
	stopErr := make(chan error, 1)
	go func() { stopErr <- f.Stop(0) }()
	waitFor(t, "the VM is not ready", func() bool { return !f.Caller(0).Ready() })
	before := receivedAttempts(f, "")
	q, o := newQuery(), newOrder()
	a, err := f.Caller(0).Query(q)
	if err != nil || a.Outcome != "refused" || a.Execution != attempt.NotExecuted || a.RetryAfterMs == 0 {
		t.Errorf("query: got %+v, %v, want refused, ran: no", a, err)
	}
	orderAnswer, err := f.Caller(0).Order(o)
	if err != nil || orderAnswer.Outcome != "refused" || orderAnswer.Execution != attempt.NotExecuted {
		t.Errorf("order: got %+v, %v, want refused, ran: no", orderAnswer, err)
	}
	for _, id := range []string{q.ID, o.ID} {
		doc, err := f.Caller(0).Events(url.Values{"request": {id}, "kind": {string(timeline.Refused)}})
		if err != nil || len(doc.Events) != 1 || doc.Events[0].Detail != "draining" {
			t.Errorf("%s: got events %+v, %v, want one refusal with detail draining", id, doc.Events, err)
		}
	}
	if got := receivedAttempts(f, ""); got != before {
		t.Errorf("upstreams received %d attempts for refused requests, want 0", got-before)
	}
	if err := <-stopErr; err != nil {
		t.Errorf("Run: %v, want nil", err)
	}
}
