package main_test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/entry"
)

var lastID atomic.Int64

func newOrder() entry.OrderRequest {
	n := lastID.Add(1)
	return entry.OrderRequest{
		ID: fmt.Sprintf("%d-p%d", clock.System{}.Now(), n), Rank: "ordinary", Service: "orders",
		Group: fmt.Sprintf("desk-%02d", n%4+1), Body: json.RawMessage(`{}`),
	}
}

func newQuery() entry.QueryRequest {
	return entry.QueryRequest{
		ID: fmt.Sprintf("q-%d", lastID.Add(1)), Rank: "ordinary", Service: "search", Query: json.RawMessage(`{}`),
	}
}

// loadGenerator sends queries and orders to the daemons that are ready.
type loadGenerator struct {
	daemons []*daemon
	wg      sync.WaitGroup
	stop    chan struct{}
	sent    atomic.Int64
	strict  atomic.Bool // report each request without an answer as an error

	mu     sync.Mutex
	orders map[string][]entry.OrderDocument
	errors []string
}

func startLoad(daemons []*daemon, workers int) *loadGenerator {
	l := &loadGenerator{daemons: daemons, stop: make(chan struct{}), orders: make(map[string][]entry.OrderDocument)}
	l.strict.Store(true)
	for w := range workers {
		l.wg.Go(func() {
			for n := w; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.send(n)
			}
		})
	}
	return l
}

func (l *loadGenerator) send(n int) {
	d := l.daemons[n%len(l.daemons)]
	if !d.client.Ready() { // a load balancer skips VMs that are not ready
		return
	}
	l.sent.Add(1)
	if n%4 == 0 {
		q := newQuery()
		if a, err := d.client.Query(q); err != nil || a.ID != q.ID || a.Outcome == "failed" {
			l.addError(fmt.Sprintf("query %s: %+v, %v", q.ID, a, err))
		}
		return
	}
	o := newOrder()
	for repeat := range 2 {
		a, err := l.daemons[(n+repeat)%len(l.daemons)].client.Order(o)
		if err != nil {
			a = entry.OrderDocument{ID: o.ID}
			if repeat == 0 {
				l.addError(fmt.Sprintf("order %s: %v", o.ID, err))
			}
		}
		l.mu.Lock()
		l.orders[o.ID] = append(l.orders[o.ID], a)
		l.mu.Unlock()
	}
}

func (l *loadGenerator) addError(text string) {
	if !l.strict.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errors = append(l.errors, text)
}

func (l *loadGenerator) waitForRequests(t *testing.T, n int64) {
	t.Helper()
	want := l.sent.Load() + n
	waitUntil(t, "requests are sent", func() bool { return l.sent.Load() >= want })
}

// TestDaemons guards against a planned stop that aborts requests or fails, and
// against orders that are executed twice, or despite the answer `ran: no`, when
// a process is killed.
func TestDaemons(t *testing.T) {
	p := startTestPlatform(t)
	for _, service := range []string{"search", "orders"} {
		if _, err := p.Inject(service, "median_ms", 40.0); err != nil {
			t.Fatal(err)
		}
	}
	daemons := p.startAll(t, 3)
	l := startLoad(daemons, 12)
	l.waitForRequests(t, 100)
	if err := daemons[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := daemons[0].waitExit(t); code != 0 {
		t.Errorf("after SIGTERM: exit code %d, want 0", code)
	}
	l.waitForRequests(t, 100)
	l.strict.Store(false) // a killed process aborts its open requests
	if err := daemons[1].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	l.waitForRequests(t, 200)
	close(l.stop)
	l.wg.Wait()
	for _, e := range l.errors {
		t.Error("before the kill:", e)
	}
	doneOrders := 0
	for id, answers := range l.orders {
		n, notExecuted, done := p.executions(id), true, false
		for _, a := range answers {
			notExecuted = notExecuted && a.Execution == attempt.NotExecuted
			done = done || a.Outcome == "done"
		}
		if n > 1 || notExecuted && n > 0 || done && n != 1 {
			t.Errorf("order %s was executed %d times, answers %+v", id, n, answers)
		}
		if done {
			doneOrders++
		}
	}
	t.Logf("%d orders, %d done", len(l.orders), doneOrders)
	if doneOrders < 100 {
		t.Errorf("%d orders are done, want at least 100", doneOrders)
	}
}

func (p *testPlatform) executions(id string) int {
	n := 0
	for _, up := range p.Upstreams() {
		n += p.Upstream(up).Executions(id)
	}
	return n
}

// TestDaemonBadSettings guards against a daemon that starts with invalid
// settings, or that reports only the first problem.
func TestDaemonBadSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.json")
	writeBadSettings(t, file)
	daemon := exec.Command(filepath.Join(binDir, "lentillinkd"), "--settings", file)
	out, _ := daemon.CombinedOutput() // the exit code says whether it failed
	checkProblems(t, "lentillinkd", daemon.ProcessState.ExitCode(), string(out))
	code, stdout, stderr := lentillink(t, "config", "validate", file)
	checkProblems(t, "lentillink config validate", code, stdout+stderr)
}

func writeBadSettings(t *testing.T, file string) {
	t.Helper()
	const bad = `{"vm": "", "data_centre": "dc-1", "store": 7, "vm_list": "127.0.0.1:1", "colour": 1,
		"addresses": {"callers": "nowhere", "peers": "127.0.0.1:2", "admin": "127.0.0.1:3"},
		"services": [{"name": "search", "keys": 10, "groups": [{"name": "a", "from": 5, "to": 2, "replicas": []}]}]}`
	if err := os.WriteFile(file, []byte(bad), 0o600); err != nil {
		t.Fatal(err)
	}
}

func checkProblems(t *testing.T, program string, code int, output string) {
	t.Helper()
	if code != 2 {
		t.Errorf("%s: exit code %d, want 2", program, code)
	}
	for _, path := range []string{"vm", "store", "colour", "addresses.callers", "services[0].groups[0].from", "services[0].groups[0].replicas"} {
		if !strings.Contains(output, path+":") && !strings.Contains(output, path+" ") {
			t.Errorf("%s: no problem names %s in %q", program, path, output)
		}
	}
}
