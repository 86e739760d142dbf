package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/demo"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/settings"
)

const (
	// waitLimit bounds every wait for a condition. It is long because the machine
	// may be busy; the wait ends as soon as the condition holds.
	waitLimit    = 20 * time.Second
	keysPerGroup = 1000
	orderGroups  = 6
)

// startFleet starts a fleet with a search service of 20 groups of 2 upstreams and
// an order service of 6 groups of 2. It stops the fleet when the test ends.
func startFleet(t *testing.T, vms int, opts ...entry.Option) *demo.Fleet {
	t.Helper()
	return startFleetOf(t, vms, nil, opts...)
}

// startFleetOf is startFleet with customers.
func startFleetOf(t *testing.T, vms int, customers []settings.Customer, opts ...entry.Option) *demo.Fleet {
	t.Helper()
	example, err := settings.Example("hautakukka")
	if err != nil {
		t.Fatal(err)
	}
	doc := example.Document()
	search, orders := doc.Services[0], doc.Services[1]
	orders.Groups = orders.Groups[:orderGroups]
	doc.Services, doc.Customers = []settings.Service{search, orders}, customers
	cfg, err := settings.New(doc)
	if err != nil {
		t.Fatal(err)
	}
	// The test's context is cancelled before its cleanup functions run, but the VMs
	// need the store until they have stopped.
	ctx := context.WithoutCancel(t.Context())
	f, err := demo.StartFromConfig(ctx, demo.FleetConfig{Settings: cfg, VMs: vms, Logger: log.NewNopLogger(), EntryOptions: opts})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Errorf("Close: %v", err)
		}
	})
	return f
}

func injectFault(t *testing.T, f *demo.Fleet, target, fault string, value any) {
	t.Helper()
	if _, err := f.Standins.Inject(target, fault, value); err != nil {
		t.Fatal(err)
	}
}

// waitFor polls until a condition holds, and fails the test after waitLimit.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("condition did not hold within %s: %s", waitLimit, condition)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

var lastID atomic.Int64

func newQuery() entry.QueryRequest {
	return entry.QueryRequest{
		ID: fmt.Sprintf("q-%d", lastID.Add(1)), Rank: "ordinary", Service: "search", Query: json.RawMessage(`{"find":"all"}`),
	}
}

func newOrder() entry.OrderRequest {
	n := lastID.Add(1)
	return entry.OrderRequest{
		ID: fmt.Sprintf("%d-t%d", clock.System{}.Now(), n), Rank: "ordinary", Service: "orders",
		Group: fmt.Sprintf("desk-%02d", n%orderGroups+1), Body: json.RawMessage(`{"flowers":1}`),
	}
}

// post sends a body unchanged and returns the status, headers and body of the response.
func post(t *testing.T, address, path string, body []byte) (int, http.Header, []byte) {
	t.Helper()
	r, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r.StatusCode, r.Header, data
}

func postJSON(t *testing.T, address, path string, in, out any) (int, http.Header) {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	status, head, data := post(t, address, path, body)
	if err := json.Unmarshal(data, out); err != nil {
		t.Fatalf("decode answer %q: %v", data, err)
	}
	return status, head
}

// checkQuery returns an error if an answer does not match its query, or its rows
// and coverage are inconsistent.
func checkQuery(q entry.QueryRequest, a entry.QueryDocument) error {
	var missing uint32
	for _, gap := range a.Coverage.Missing {
		missing += gap.Len()
	}
	switch {
	case a.ID != q.ID:
		return fmt.Errorf("%s received the answer to %s", q.ID, a.ID)
	case a.Outcome == "refused" || a.Outcome == "failed":
		return nil
	case a.Coverage.Covered+missing != a.Coverage.Expected || (a.Outcome == "complete") != (missing == 0):
		return fmt.Errorf("%s is %s with inconsistent coverage %+v", q.ID, a.Outcome, a.Coverage)
	}
	seen := make(map[uint32]bool)
	for _, row := range a.Rows {
		if seen[row.Key] || row.Value != fmt.Sprintf("v%d/%d", a.Snapshot, row.Key) {
			return fmt.Errorf("%s has a duplicate row, or a row of another snapshot, %+v in snapshot %d", q.ID, row, a.Snapshot)
		}
		seen[row.Key] = true
		for _, gap := range a.Coverage.Missing {
			if gap.Contains(row.Key) {
				return fmt.Errorf("%s returns key %d, which it reports as missing", q.ID, row.Key)
			}
		}
	}
	return nil
}

// requireComplete sends a query and requires a complete answer.
func requireComplete(t *testing.T, f *demo.Fleet, vm int) {
	t.Helper()
	q := newQuery()
	a, err := f.Caller(vm).Query(q)
	if err == nil {
		err = checkQuery(q, a)
	}
	if err != nil || a.Outcome != "complete" {
		t.Fatalf("query through VM %d: %v, %s %s, coverage %+v\n%s", vm, err, a.Outcome, a.Reason, a.Coverage, traceOf(f, q.ID))
	}
}

// traceOf returns the events of a request on all VMs, a line each.
func traceOf(f *demo.Fleet, requestID string) string {
	var b strings.Builder
	for vm := range f.Size() {
		doc, err := f.Caller(vm).Events(url.Values{"request": {requestID}})
		if err != nil {
			_, _ = fmt.Fprintf(&b, "VM %d: %v\n", vm, err)
		}
		for _, ev := range doc.Events {
			_, _ = fmt.Fprintf(&b, "VM %d: %+v\n", vm, ev)
		}
	}
	return b.String()
}

// orderExecutions returns how often the upstreams executed an order.
func orderExecutions(f *demo.Fleet, id string) int {
	n := 0
	for _, up := range f.Standins.Upstreams() {
		n += f.Standins.Upstream(up).Executions(id)
	}
	return n
}

// receivedAttempts returns how many attempts reached upstreams whose name starts with prefix.
func receivedAttempts(f *demo.Fleet, prefix string) int {
	n := 0
	for _, up := range f.Standins.Upstreams() {
		if strings.HasPrefix(string(up), prefix) {
			n += f.Standins.Upstream(up).AttemptCounts().Received
		}
	}
	return n
}

// orderAnswers collects the answers to orders by id.
type orderAnswers struct {
	mu      sync.Mutex
	answers map[string][]entry.OrderDocument
}

func newOrderAnswers() *orderAnswers {
	return &orderAnswers{answers: make(map[string][]entry.OrderDocument)}
}

// add records an answer. If err is set, there is none, and it records the outcome unknown.
func (o *orderAnswers) add(id string, a entry.OrderDocument, err error) {
	if err != nil {
		a = entry.OrderDocument{ID: id, Outcome: "unknown"}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers[id] = append(o.answers[id], a)
}

// check compares all answers with the number of executions at the upstreams and
// returns the number of orders that are done.
func (o *orderAnswers) check(t *testing.T, f *demo.Fleet) (done int) {
	t.Helper()
	for id, answers := range o.answers {
		n, notExecuted, executed := orderExecutions(f, id), true, false
		for _, a := range answers {
			notExecuted = notExecuted && a.Execution == attempt.NotExecuted
			executed = executed || a.Outcome == "done"
			if a.ID != id {
				t.Errorf("order %s received the answer to %s", id, a.ID)
			}
		}
		if n > 1 || notExecuted && n > 0 || executed && n != 1 {
			t.Errorf("order %s was executed %d times, which contradicts the answers %+v", id, n, answers)
		}
		if executed {
			done++
		}
	}
	return done
}
