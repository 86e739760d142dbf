package experiment

import (
	"fmt"
	"strings"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
)

// rowEvery is the distance between keys that have a row, so that a missing row
// reveals coverage that was claimed without data.
const rowEvery uint32 = 10

// ledger is what the fake upstreams really did. The checkers compare answers
// with it and with nothing that the cores say.
type ledger struct {
	loop    *Loop
	runs    map[string]int                      // by request body
	orders  map[string]int                      // by order id
	served  map[string]map[uint64]*coverage.Set // by request body and version
	leaving map[string]clock.Millis             // since when
	late    []string                            // requests that reached a leaving upstream too late
}

func newLedger(t *Tier) *ledger {
	g := &ledger{
		loop: t.Loop, runs: make(map[string]int), orders: make(map[string]int),
		served: make(map[string]map[uint64]*coverage.Set), leaving: make(map[string]clock.Millis),
	}
	for _, id := range t.ids {
		up := t.Upstreams[id]
		up.OnReceive = g.received
		up.OnStart = g.run
		up.CompleteReply = g.answer
	}
	return g
}

func (g *ledger) received(req attempt.Request) {
	since, leaves := g.leaving[req.Upstream]
	if leaves && g.loop.Now() > since+leavingBoundMs {
		g.late = append(g.late, fmt.Sprintf("%s from %s reached %s %d ms after it began to leave",
			req.Body, req.ID.VM, req.Upstream, g.loop.Now()-since))
	}
}

func (g *ledger) run(req attempt.Request) {
	g.runs[string(req.Body)]++
	if req.Kind == attempt.Order {
		g.orders[req.OrderID]++
	}
}

// answer fills the rows of a reply: each names its version and its request.
func (g *ledger) answer(req attempt.Request, r *attempt.Reply) {
	body := string(req.Body)
	if req.Kind == attempt.Order {
		r.Body = []byte("done " + body)
		return
	}
	versions := g.served[body]
	if versions == nil {
		versions = make(map[uint64]*coverage.Set)
		g.served[body] = versions
	}
	set := versions[r.Version]
	if set == nil {
		set = &coverage.Set{}
		versions[r.Version] = set
	}
	for _, keys := range r.Ranges {
		set.Add(keys)
		for k := (keys.From + rowEvery - 1) / rowEvery * rowEvery; k < keys.To; k += rowEvery {
			r.Rows = append(r.Rows, coverage.Row{Key: k, Value: rowValue(r.Version, body)})
		}
	}
}

func rowValue(version uint64, body string) string { return fmt.Sprintf("v%d %s", version, body) }

// splitRow returns the version and the request that a row names.
func splitRow(value string) (version, body string) {
	version, body, _ = strings.Cut(value, " ")
	return version, body
}
