package demo

import (
	"fmt"
	"strings"
	"sync"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/standin"
)

// checker collects violations of what must always hold.
type checker struct {
	mu         sync.Mutex
	violations []string
	errors     []string
	notRun     map[string]bool // order ids whose every answer said ran: no
	done       map[string]bool
}

func newChecker() *checker {
	return &checker{notRun: make(map[string]bool), done: make(map[string]bool)}
}

func (c *checker) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) failed(what string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errors = append(c.errors, what+": "+err.Error())
}

// query checks one answer on its own: that it belongs to the request, comes
// from one snapshot and reports its coverage truly.
func (c *checker) query(q entry.QueryRequest, a entry.QueryDocument) {
	if a.ID != q.ID {
		c.violate("query %s received the answer to %s", q.ID, a.ID)
	}
	version := fmt.Sprintf("v%d/", a.Snapshot)
	for _, row := range a.Rows {
		if !strings.HasPrefix(row.Value, version) {
			c.violate("query %s mixes snapshots: row %q in an answer of snapshot %d", q.ID, row.Value, a.Snapshot)
		}
		for _, gap := range a.Coverage.Missing {
			if gap.Contains(row.Key) {
				c.violate("query %s reports key %d as missing but returns it", q.ID, row.Key)
			}
		}
	}
	var missing uint32
	for _, gap := range a.Coverage.Missing {
		missing += gap.Len()
	}
	if a.Coverage.Covered+missing != a.Coverage.Expected {
		c.violate("query %s covers %d and misses %d of %d keys", q.ID, a.Coverage.Covered, missing, a.Coverage.Expected)
	}
	if a.Outcome == "complete" && missing > 0 {
		c.violate("query %s is called complete but misses %d keys", q.ID, missing)
	}
}

func (c *checker) order(o entry.OrderRequest, a entry.OrderDocument) {
	if a.ID != o.ID {
		c.violate("order %s received the answer to %s", o.ID, a.ID)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	said, seen := c.notRun[o.ID]
	c.notRun[o.ID] = a.Execution == attempt.NotExecuted && (said || !seen)
	if a.Outcome == "done" {
		c.done[o.ID] = true
	}
}

// ledger compares the answers to orders with what the upstreams ran.
func (c *checker) ledger(runs func(id string) int) {
	for id, notRun := range c.notRun {
		n := runs(id)
		switch {
		case n > 1:
			c.violate("order %s ran %d times", id, n)
		case n > 0 && notRun:
			c.violate("order %s ran, but every answer said it did not", id)
		case n == 0 && c.done[id]:
			c.violate("order %s is called done, but no upstream ran it", id)
		}
	}
}

// runsOf returns how often the upstreams of a deployment ran an order.
func runsOf(d *standin.Deployment) func(id string) int {
	return func(id string) int {
		n := 0
		for _, up := range d.Upstreams() {
			n += d.Upstream(up).Executions(id)
		}
		return n
	}
}
