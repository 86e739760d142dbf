package entry_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/demo"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/preset"
)

// TestRepeatedOrderRunsOnce guards against an order that is executed again when it
// is repeated, concurrently or later, through any VM.
func TestRepeatedOrderRunsOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 5)
	for range 5 {
		o := newOrder()
		var mu sync.Mutex
		statuses := make(map[int]int)
		var wait sync.WaitGroup
		for vm := range f.Size() {
			wait.Go(func() {
				var a entry.OrderDocument
				status, _ := postJSON(t, f.Address(vm), "/v1/order", o, &a)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
		wait.Wait()
		if statuses[http.StatusOK] != 1 || statuses[http.StatusConflict] != f.Size()-1 {
			t.Errorf("concurrent: got statuses %v, want one 200 and otherwise 409", statuses)
		}
		for vm := range f.Size() {
			var a entry.OrderDocument
			if status, _ := postJSON(t, f.Address(vm), "/v1/order", o, &a); status != http.StatusConflict || a.Outcome != "already_submitted" {
				t.Errorf("repeat later, VM %d: got %d %s, want 409", vm, status, a.Outcome)
			}
		}
		if got := orderExecutions(f, o.ID); got != 1 {
			t.Errorf("order %s was executed %d times, want 1", o.ID, got)
		}
	}
}

// TestStoreDown guards against orders that are executed, hang or get a wrong answer
// while the store is down, and against queries that depend on the store.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	requireComplete(t, f, 0)
	for _, tt := range []struct {
		preset      string
		minDuration time.Duration // an order that waits for the store is refused only near its deadline
	}{{"ordinary", 0}, {"maintenance", time.Second}} {
		if tt.preset != "ordinary" {
			switchPreset(t, f, tt.preset)
		}
		injectFault(t, f, "store", "down", true)
		for vm := range f.Size() {
			requireComplete(t, f, vm)
		}
		o := newOrder()
		o.Rank = "urgent" // urgent has the shortest deadline
		begin := time.Now()
		var a entry.OrderDocument
		status, head := postJSON(t, f.Address(1), "/v1/order", o, &a)
		took := time.Since(begin)
		if a.Outcome != "refused" || a.Execution != attempt.NotExecuted || status != http.StatusServiceUnavailable || head.Get("Retry-After") == "" {
			t.Errorf("%s: got %d %+v, want 503, ran: no and Retry-After", tt.preset, status, a)
		}
		if took < tt.minDuration {
			t.Errorf("%s: refused after %s, want at least %s", tt.preset, took, tt.minDuration)
		}
		if got := orderExecutions(f, o.ID); got != 0 {
			t.Errorf("%s: a refused order was executed %d times, want 0", tt.preset, got)
		}
		injectFault(t, f, "store", "down", false)
		waitFor(t, "an order is done after the outage", func() bool {
			a, err := f.Caller(2).Order(newOrder())
			return err == nil && a.Outcome == "done"
		})
	}
}

// TestStoreReplyLost guards against an order that is executed twice, or a preset
// switch that is reported as refused, when a store write takes effect but its reply
// is lost.
func TestStoreReplyLost(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	for range 5 {
		lost := f.Standins.Store().DroppedReplies()
		injectFault(t, f, "store", "lose_answers", 1)
		o := newOrder()
		a, err := f.Caller(0).Order(o)
		if err != nil || a.Outcome != "done" {
			t.Errorf("got %+v, %v, want done", a, err)
		}
		waitFor(t, "the store loses a reply", func() bool { return f.Standins.Store().DroppedReplies() > lost })
		if again, err := f.Caller(1).Order(o); err != nil || again.Outcome != "already_submitted" {
			t.Errorf("repeat: got %+v, %v, want already_submitted", again, err)
		}
		if got := orderExecutions(f, o.ID); got != 1 {
			t.Errorf("order %s was executed %d times, want 1", o.ID, got)
		}
	}
	injectFault(t, f, "store", "lose_answers", 1)
	switchPreset(t, f, "peak")
}

// switchPreset switches the preset and requires that the switch is accepted and
// reaches all VMs.
func switchPreset(t *testing.T, f *demo.Fleet, name string) {
	t.Helper()
	doc, err := f.Caller(0).Change(preset.Change{ID: "to-" + name, Author: "aino", Reason: "test", SwitchTo: name})
	if err != nil || doc.Accepted != preset.Accepted || doc.InForce != name {
		t.Fatalf("switch to %s: got %+v, %v, want accepted", name, doc, err)
	}
	if _, err := demo.AwaitRevision(f, doc.Revision, 4000); err != nil {
		t.Error(err)
	}
}

// TestKilledVM guards against orders that are executed twice, or executed despite
// an answer with `ran: no`, when VMs are killed while they process orders.
func TestKilledVM(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 5)
	injectFault(t, f, "orders", "median_ms", 40)
	answers := newOrderAnswers()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for w := range 10 {
		wait.Go(func() {
			for n := w; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				o := newOrder()
				for repeat := range 3 { // retries through another VM, as the balancer routes a caller's retries
					a, err := f.Caller(n + repeat).Order(o)
					answers.add(o.ID, a, err)
					if err == nil && a.Outcome == "done" {
						break
					}
				}
			}
		})
	}
	for _, vm := range []int{1, 3} {
		before := receivedAttempts(f, "orders")
		waitFor(t, "orders are in progress", func() bool { return receivedAttempts(f, "orders") > before+40 })
		f.Kill(vm)
	}
	before := receivedAttempts(f, "orders")
	waitFor(t, "orders are in progress after the VMs were killed", func() bool { return receivedAttempts(f, "orders") > before+40 })
	close(stop)
	wait.Wait()
	done := answers.check(t, f)
	t.Logf("%d orders, %d done", len(answers.answers), done)
	if done < 80 {
		t.Errorf("%d of %d orders are done, want at least 80", done, len(answers.answers))
	}
	waitFor(t, "a complete query through each remaining VM", func() bool {
		for _, vm := range []int{0, 2, 4} {
			if a, err := f.Caller(vm).Query(newQuery()); err != nil || a.Outcome != "complete" {
				return false
			}
		}
		return true
	})
}
