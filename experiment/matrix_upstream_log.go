package experiment

import (
	"fmt"
	"strings"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
)

// rowInterval is the distance between keys that have a row, so that a missing row
// reveals coverage that is reported without data.
const rowInterval uint32 = 10

// upstreamLog records what the fake upstreams executed and served. The checker
// compares answers with it alone, never with the state of the cores.
type upstreamLog struct {
	loop         *Loop
	runs         map[string]int                      // by request body
	orders       map[string]int                      // by order id
	served       map[string]map[uint64]*coverage.Set // by request body and version
	leavingSince map[string]clock.Millis             // by upstream
	lateRequests []string                            // descriptions of requests that reached a leaving upstream too late
}

func newUpstreamLog(t *Tier) *upstreamLog {
	log := &upstreamLog{
		loop: t.Loop, runs: make(map[string]int), orders: make(map[string]int),
		served: make(map[string]map[uint64]*coverage.Set), leavingSince: make(map[string]clock.Millis),
	}
	for _, id := range t.upstreamIDs {
		up := t.Upstreams[id]
		up.OnReceive = log.onReceive
		up.OnStart = log.onStart
		up.CompleteReply = log.completeReply
	}
	return log
}

func (log *upstreamLog) onReceive(req attempt.Request) {
	since, leaves := log.leavingSince[req.Upstream]
	if leaves && log.loop.Now() > since+leavingBoundMs {
		log.lateRequests = append(log.lateRequests, fmt.Sprintf("request %s from %s reached %s %d ms after it began to leave",
			req.Body, req.ID.VM, req.Upstream, log.loop.Now()-since))
	}
}

func (log *upstreamLog) onStart(req attempt.Request) {
	log.runs[string(req.Body)]++
	if req.Kind == attempt.Order {
		log.orders[req.OrderID]++
	}
}

// completeReply adds the rows of a reply. Each row names its version and its request.
func (log *upstreamLog) completeReply(req attempt.Request, r *attempt.Reply) {
	body := string(req.Body)
	if req.Kind == attempt.Order {
		r.Body = []byte("done " + body)
		return
	}
	versions := log.served[body]
	if versions == nil {
		versions = make(map[uint64]*coverage.Set)
		log.served[body] = versions
	}
	set := versions[r.Version]
	if set == nil {
		set = &coverage.Set{}
		versions[r.Version] = set
	}
	for _, keys := range r.Ranges {
		set.Add(keys)
		for k := (keys.From + rowInterval - 1) / rowInterval * rowInterval; k < keys.To; k += rowInterval {
			r.Rows = append(r.Rows, coverage.Row{Key: k, Value: rowValue(r.Version, body)})
		}
	}
}

func rowValue(version uint64, body string) string { return fmt.Sprintf("v%d %s", version, body) }

// splitRow returns the version and the request body that a row names.
func splitRow(value string) (version, body string) {
	version, body, _ = strings.Cut(value, " ")
	return version, body
}
