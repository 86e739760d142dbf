package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/vm"
)

// TestQueryCoverage guards against an answer that does not report missing keys
// while all replicas of a group are down.
func TestQueryCoverage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	var a entry.QueryDocument
	status, _ := postJSON(t, f.Address(0), "/v1/query", newQuery(), &a)
	if status != http.StatusOK || a.Outcome != "complete" || a.Coverage.Covered != 20*keysPerGroup {
		t.Fatalf("got status %d, %s, coverage %+v, want 200 and all %d keys", status, a.Outcome, a.Coverage, 20*keysPerGroup)
	}
	injectFault(t, f, "search/planner-03", "down", true)
	for vm := range f.Size() {
		q := newQuery()
		status, _ = postJSON(t, f.Address(vm), "/v1/query", q, &a)
		want := coverage.Range{From: 2 * keysPerGroup, To: 3 * keysPerGroup}
		if status != http.StatusPartialContent || a.Outcome != "partial" || len(a.Coverage.Missing) != 1 || a.Coverage.Missing[0] != want {
			t.Fatalf("got status %d, %s, missing %v, want 206 and %v", status, a.Outcome, a.Coverage.Missing, want)
		}
		if err := checkQuery(q, a); err != nil {
			t.Error(err)
		}
	}
	injectFault(t, f, "search/planner-03", "down", false)
	waitFor(t, "a complete answer after the group has recovered", func() bool {
		a, err := f.Caller(1).Query(newQuery())
		return err == nil && a.Outcome == "complete"
	})
}

// TestBadRequests guards against invalid requests that reach an upstream, and
// against errors that do not name the invalid field.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1)
	const id = `"id":"1700000000000-a","rank":"urgent",`
	tests := []struct{ name, path, body, field string }{
		{"unknown rank", "query", `{"id":"a","rank":"vip","service":"search","query":{}}`, "rank"},
		{"missing rank", "query", `{"id":"a","service":"search","query":{}}`, "rank"},
		{"missing id", "query", `{"rank":"urgent","service":"search","query":{}}`, "id"},
		{"long id", "query", `{"id":"` + strings.Repeat("a", 129) + `","rank":"urgent","service":"search","query":{}}`, "id"},
		{"id with a line break", "query", `{"id":"a\nb","rank":"urgent","service":"search","query":{}}`, "id"},
		{"field twice", "query", `{` + id + `"service":"search","query":{},"rank":"patient"}`, "rank"},
		{"field twice in other case", "query", `{` + id + `"service":"search","query":{"a":1,"a":2},"Rank":"patient"}`, "Rank"},
		{"order: field twice", "order", `{` + id + `"service":"orders","group":"desk-01","body":{},"group":"desk-02"}`, "group"},
		{"missing service", "query", `{` + id + `"query":{}}`, "service"},
		{"unknown service", "query", `{` + id + `"service":"nowhere","query":{}}`, "service"},
		{"missing query", "query", `{` + id + `"service":"search"}`, "query"},
		{"null query", "query", `{` + id + `"service":"search","query":null}`, "query"},
		{"negative deadline", "query", `{` + id + `"service":"search","query":{},"deadline_ms":-1}`, "deadline_ms"},
		{"zero deadline", "query", `{` + id + `"service":"search","query":{},"deadline_ms":0}`, "deadline_ms"},
		{"deadline above the limit", "query", `{` + id + `"service":"search","query":{},"deadline_ms":9000000000000}`, "deadline_ms"},
		{"overflowing deadline", "query", `{` + id + `"service":"search","query":{},"deadline_ms":99999999999999999999}`, "deadline_ms"},
		{"deadline as text", "query", `{` + id + `"service":"search","query":{},"deadline_ms":"1s"}`, "deadline_ms"},
		{"coverage above 1", "query", `{` + id + `"service":"search","query":{},"min_coverage":50}`, "min_coverage"},
		{"unknown field", "query", `{` + id + `"service":"search","query":{},"color":1}`, "color"},
		{"bad JSON", "query", `{"id":`, "body"},
		{"empty body", "query", ``, "body"},
		{"two documents", "query", `{` + id + `"service":"search","query":{}}{}`, "body"},
		{"not an object", "query", `[]`, "body"},
		{"oversized body", "query", `{` + id + `"service":"search","query":"` + strings.Repeat("a", 1<<20) + `"}`, "body"},
		{"order: unknown group", "order", `{` + id + `"service":"orders","group":"desk-99","body":{}}`, "group"},
		{"order: unknown service", "order", `{` + id + `"service":"nowhere","group":"desk-01","body":{}}`, "service"},
		{"order: missing group", "order", `{` + id + `"service":"orders","body":{}}`, "group"},
		{"order: missing body", "order", `{` + id + `"service":"orders","group":"desk-01"}`, "body"},
		{"order: id without time", "order", `{"id":"a","rank":"urgent","service":"orders","group":"desk-01","body":{}}`, "id"},
		{"order: unknown field", "order", `{` + id + `"service":"orders","group":"desk-01","body":{},"deadline_ms":5}`, "deadline_ms"},
		{"order: oversized body", "order", `{` + id + `"service":"orders","group":"desk-01","body":"` + strings.Repeat("a", 1<<20) + `"}`, "body"},
	}
	for _, tt := range tests {
		status, _, data := post(t, f.Address(0), "/v1/"+tt.path, []byte(tt.body))
		var doc entry.ErrorDocument
		if err := json.Unmarshal(data, &doc); err != nil {
			t.Errorf("%s: decode answer %q: %v", tt.name, data, err)
		}
		if strings.Contains(doc.Error, "clock.") || strings.Contains(doc.Error, "json.") || strings.Contains(doc.Error, "int64") {
			t.Errorf("%s: error %q names a Go type", tt.name, doc.Error)
		}
		if status != http.StatusBadRequest || doc.Field != tt.field || doc.Execution != attempt.NotExecuted || doc.Error == "" {
			t.Errorf("%s: got status %d, %+v, want 400 naming %s", tt.name, status, doc, tt.field)
		}
	}
	sendTruncatedBody(t, f.Address(0))
	if got := receivedAttempts(f, ""); got != 0 {
		t.Errorf("upstreams received %d attempts, want 0", got)
	}
}

// sendTruncatedBody sends part of a request body, closes the write side of the
// connection and requires an error that names the body.
func sendTruncatedBody(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{\"id\":\"a\",")
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(waitLimit))
	data, err := io.ReadAll(conn)
	if err != nil || !strings.Contains(string(data), " 400 ") || !strings.Contains(string(data), `"field":"body"`) {
		t.Errorf("truncated body: got %q, %v, want 400 naming body", data, err)
	}
}

// TestFaultyReplies guards against a caller that receives a truncated answer or the
// answer to another query, when upstreams send late, truncated or duplicate replies,
// or replies to other requests.
func TestFaultyReplies(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	for _, fault := range []string{"crossed_share", "cut_share", "doubled_share", "late_share"} {
		injectFault(t, f, "search", fault, 0.01)
	}
	injectFault(t, f, "search", "late_ms", 200)
	const workers, queriesPerWorker = 12, 10
	outcomes := make(chan string, workers*queriesPerWorker)
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() {
			for range queriesPerWorker {
				q := newQuery()
				a, err := f.Caller(w).Query(q)
				if err == nil {
					err = checkQuery(q, a)
				}
				if err != nil {
					t.Errorf("%s: %v", q.ID, err)
				}
				outcomes <- a.Outcome
			}
		})
	}
	wait.Wait()
	close(outcomes)
	got := make(map[string]int)
	for o := range outcomes {
		got[o]++
	}
	t.Log("outcomes:", got)
	// A group is missing only if the replies of both replicas are faulty, or the retry budget is exhausted.
	if got["complete"] < workers*queriesPerWorker*3/4 {
		t.Errorf("outcomes %v, want at least 3/4 complete", got)
	}
}

// TestResultForUnknownVM guards against results that are dropped because the carrier does
// not know the VM yet that forwarded the attempt: it has just started.
func TestResultForUnknownVM(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1)
	status, err := f.Caller(0).Status()
	if err != nil {
		t.Fatal(err)
	}
	results := make(resultHandler, 1)
	mesh := peer.New("vm-unknown", 1, results)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- mesh.Run(ctx, lis) }()
	up := string(f.Standins.Upstreams()[0])
	mesh.Send(status.VM, status.Members[0].Address, clock.Timestamp{}, vm.Forward{Request: attempt.Request{
		ID: attempt.ID{VM: "vm-unknown", Incarnation: 1, Seq: 1}, Upstream: up, Deadline: clock.System{}.Now() + 5000,
	}})
	select {
	case got := <-results:
		if got.Upstream != up || got.ID.Seq != 1 {
			t.Errorf("got the result %+v, want one of attempt 1 at %s", got, up)
		}
	case <-time.After(waitLimit):
		t.Error("got no result")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// resultHandler is a peer.Handler that passes on the replies in results.
type resultHandler chan attempt.Reply

func (h resultHandler) Received(_ string, _ clock.Timestamp, body vm.PeerBody) {
	if r, ok := body.(vm.Result); ok {
		h <- r.Reply
	}
}
func (h resultHandler) Malformed(string, error)    {}
func (h resultHandler) Unsent(string, vm.PeerBody) {}
func (h resultHandler) Disconnected(string)        {}
