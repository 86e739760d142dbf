package experiment

import (
	"fmt"
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/vm"
)

// Load of one cell. Rates are in requests per second.
const (
	cellQueryRate  = 15.0 // per rank
	cellOrderRate  = 20.0
	cellFloodRate  = 1500.0
	repeatPercent  = 35               // of orders, repeated through another VM
	repeatWithinMs = 2 * clock.Second // of the first submission
	balancerLagMs  = 500              // delay until the load balancer sees that a VM is not ready
	answerMarginMs = 100 * clock.Millis(1)
)

// request is one request of a caller with the answers to it.
type request struct {
	callID       uint64
	id           string
	vm           string
	generation   int
	order        bool
	rank         rank.Rank
	body         string // unique per request, so that executions can be traced to it
	sentAt       clock.Millis
	deadline     clock.Millis // an answer after this time is a violation
	answers      []vm.Cmd
	answeredAt   clock.Millis
	disconnected bool // its VM ended before it answered
}

// cellLoad sends the requests of one cell through a simulated load balancer.
type cellLoad struct {
	tier     *Tier
	rng      *rand.Rand
	requests []*request
	byCallID map[uint64]*request
	readyVMs []string // VMs that the load balancer sends requests to
	answered func(*request, vm.Cmd)
}

func newCellLoad(t *Tier, seed uint64) *cellLoad {
	l := &cellLoad{tier: t, rng: rand.New(rand.NewPCG(seed, 501)), byCallID: make(map[uint64]*request)}
	l.pollReady()
	return l
}

func (l *cellLoad) pollReady() {
	l.readyVMs = l.readyVMs[:0]
	for _, n := range l.tier.vms {
		if ready, _ := n.core.Ready(); ready && !n.dead {
			l.readyVMs = append(l.readyVMs, n.self.ID)
		}
	}
	l.tier.Loop.After(balancerLagMs, l.pollReady)
}

// stream calls send as a Poisson process with the given rate until end.
func (l *cellLoad) stream(perSecond float64, end clock.Millis, send func()) {
	next := float64(l.tier.Loop.Now())
	var step func()
	step = func() {
		next += l.rng.ExpFloat64() * float64(clock.Second) / perSecond
		if clock.Millis(next) < end {
			l.tier.Loop.At(clock.Millis(next), func() {
				send()
				step()
			})
		}
	}
	step()
}

// pickVM chooses a VM as the load balancer does. If the connection to it fails, another one is tried.
func (l *cellLoad) pickVM(exclude string) *tierVM {
	for range 20 {
		if len(l.readyVMs) == 0 {
			break
		}
		n := l.tier.byID[l.readyVMs[l.rng.IntN(len(l.readyVMs))]]
		if !n.dead && n.self.ID != exclude {
			return n
		}
	}
	for _, n := range l.tier.vms {
		if !n.dead {
			return n
		}
	}
	return nil
}

func (l *cellLoad) query(r rank.Rank) {
	if n := l.pickVM(""); n != nil {
		l.send(n, &request{rank: r})
	}
}

// order submits a new order and sometimes repeats it through other VMs.
func (l *cellLoad) order() {
	n := l.pickVM("")
	if n == nil {
		return
	}
	all := rank.All()
	r := all[l.rng.IntN(len(all))]
	id := fmt.Sprintf("%d-%d", l.tier.Loop.Now(), l.tier.lastCallID)
	first := n.self.ID
	l.send(n, &request{rank: r, order: true, id: id})
	for l.rng.IntN(100) < repeatPercent {
		delay := clock.Millis(l.rng.Int64N(int64(repeatWithinMs)))
		l.tier.Loop.After(delay, func() {
			if other := l.pickVM(first); other != nil {
				l.send(other, &request{rank: r, order: true, id: id})
			}
		})
	}
}

func (l *cellLoad) send(n *tierVM, q *request) {
	t := l.tier
	t.lastCallID++
	q.callID, q.vm, q.generation, q.sentAt = t.lastCallID, n.self.ID, n.generation, t.Loop.Now()
	if q.id == "" {
		q.id = fmt.Sprintf("q%d", q.callID)
	}
	q.body = fmt.Sprintf("%s/%d", q.id, q.callID)
	l.requests = append(l.requests, q)
	l.byCallID[q.callID] = q
	current := t.Config.Record.CurrentPreset()
	q.deadline = max(q.sentAt, n.pausedUntil) + current.Policy(q.rank).DeadlineMs + answerMarginMs
	if q.order {
		n.update(vm.OrderMsg{
			CallID: q.callID, ID: q.id, Rank: q.rank, Service: "orders",
			Group: fmt.Sprintf("d%02d", l.rng.IntN(t.Config.OrderGroups)), Body: []byte(q.body),
		})
		return
	}
	n.update(vm.QueryMsg{CallID: q.callID, ID: q.id, Rank: q.rank, Service: "search", Body: []byte(q.body), MinCoverage: -1})
}

// recordAnswer records an answer that a VM sends to a caller.
func (l *cellLoad) recordAnswer(callID uint64, cmd vm.Cmd) {
	q := l.byCallID[callID]
	if q == nil {
		return
	}
	q.answers = append(q.answers, cmd)
	if len(q.answers) == 1 {
		q.answeredAt = l.tier.Loop.Now()
	}
	if l.answered != nil {
		l.answered(q, cmd)
	}
}

// disconnect marks the requests that a VM left unanswered when it ended. Their
// callers see a broken connection and repeat orders through another VM.
func (l *cellLoad) disconnect(id string, generation int) {
	for _, q := range l.requests {
		if q.vm != id || q.generation != generation || len(q.answers) > 0 {
			continue
		}
		q.disconnected = true
		if q.order {
			l.tier.Loop.After(50, func() {
				if other := l.pickVM(id); other != nil {
					l.send(other, &request{rank: q.rank, order: true, id: q.id})
				}
			})
		}
	}
}

// extendDeadlines moves the deadlines of a paused VM's open requests past the end of the pause.
func (l *cellLoad) extendDeadlines(id string, until clock.Millis) {
	for _, q := range l.requests {
		if q.vm == id && len(q.answers) == 0 {
			q.deadline = max(q.deadline, until+answerMarginMs)
		}
	}
}

// outcomes counts the requests by outcome.
func (l *cellLoad) outcomes() map[string]int {
	count := make(map[string]int)
	for _, q := range l.requests {
		if q.disconnected {
			count["lost"]++
		}
		for _, cmd := range q.answers {
			switch a := cmd.(type) {
			case vm.AnswerQueryCmd:
				count["query "+string(a.Answer.Outcome)]++
			case vm.AnswerOrderCmd:
				count["order "+string(a.Answer.Outcome)]++
			}
		}
	}
	return count
}
