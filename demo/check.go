package demo

import (
	"fmt"
	"strings"
	"sync"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/standin"
)

// checker collects violations of the invariants and errors of requests.
type checker struct {
	mu          sync.Mutex
	violations  []string
	errors      []string
	notExecuted map[string]bool // by order id: whether every answer reported ran: no
	done        map[string]bool
}

func newChecker() *checker {
	return &checker{notExecuted: make(map[string]bool), done: make(map[string]bool)}
}

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) addError(what string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errors = append(c.errors, what+": "+err.Error())
}

// checkQuery checks that an answer belongs to its request, comes from a single
// snapshot and reports its coverage correctly.
func (c *checker) checkQuery(q entry.QueryRequest, a entry.QueryDocument) {
	if a.ID != q.ID {
		c.addViolation("query %s received the answer to %s", q.ID, a.ID)
	}
	version := fmt.Sprintf("v%d/", a.Snapshot)
	for _, row := range a.Rows {
		if !strings.HasPrefix(row.Value, version) {
			c.addViolation("query %s mixes snapshots: row %q in an answer of snapshot %d", q.ID, row.Value, a.Snapshot)
		}
		for _, gap := range a.Coverage.Missing {
			if gap.Contains(row.Key) {
				c.addViolation("query %s reports key %d as missing but returns it", q.ID, row.Key)
			}
		}
	}
	var missing uint32
	for _, gap := range a.Coverage.Missing {
		missing += gap.Len()
	}
	if a.Coverage.Covered+missing != a.Coverage.Expected {
		c.addViolation("query %s covers %d and misses %d of %d keys", q.ID, a.Coverage.Covered, missing, a.Coverage.Expected)
	}
	if a.Outcome == "complete" && missing > 0 {
		c.addViolation("query %s has outcome complete but misses %d keys", q.ID, missing)
	}
}

func (c *checker) recordOrder(o entry.OrderRequest, a entry.OrderDocument) {
	if a.ID != o.ID {
		c.addViolation("order %s received the answer to %s", o.ID, a.ID)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	prev, ok := c.notExecuted[o.ID]
	c.notExecuted[o.ID] = a.Execution == attempt.NotExecuted && (prev || !ok)
	if a.Outcome == "done" {
		c.done[o.ID] = true
	}
}

// checkExecutions compares the answers to orders with the executions at the
// upstreams.
func (c *checker) checkExecutions(executions func(id string) int) {
	for id, notExecuted := range c.notExecuted {
		n := executions(id)
		switch {
		case n > 1:
			c.addViolation("order %s was executed %d times, want at most once", id, n)
		case n > 0 && notExecuted:
			c.addViolation("order %s was executed, but every answer reported ran: no", id)
		case n == 0 && c.done[id]:
			c.addViolation("order %s has outcome done, but no upstream executed it", id)
		}
	}
}

// executionsOf returns a function that counts the executions of an order at the
// upstreams of a deployment.
func executionsOf(d *standin.Deployment) func(id string) int {
	return func(id string) int {
		n := 0
		for _, up := range d.Upstreams() {
			n += d.Upstream(up).Executions(id)
		}
		return n
	}
}
