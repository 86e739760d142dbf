package experiment

import (
	"fmt"
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/vm"
)

// Load of one cell, in requests per second.
const (
	cellQueryRate  = 15.0 // of each rank
	cellOrderRate  = 20.0
	cellFloodRate  = 1500.0
	repeatPercent  = 35               // orders that are sent again through another VM
	repeatWithinMs = 2 * clock.Second // after the first
	balancerLagMs  = 500              // until the balancer sees that a VM is not ready
	answerGraceMs  = 100 * clock.Millis(1)
)

// request is one request of a caller and what became of it.
type request struct {
	call    uint64
	id      string
	vm      string
	life    int
	order   bool
	rank    rank.Rank
	body    string // names the call, so that a run can be traced to it
	sent    clock.Millis
	due     clock.Millis // an answer is late after this
	answers []vm.Cmd
	at      clock.Millis
	lost    bool // its VM was killed
}

// cellLoad sends the requests of one cell through a balancer.
type cellLoad struct {
	tier     *Tier
	rng      *rand.Rand
	requests []*request
	byCall   map[uint64]*request
	routed   []string // VMs that the balancer uses
	answered func(*request, vm.Cmd)
}

func newCellLoad(t *Tier, seed uint64) *cellLoad {
	l := &cellLoad{tier: t, rng: rand.New(rand.NewPCG(seed, 501)), byCall: make(map[uint64]*request)}
	l.pollReady()
	return l
}

func (l *cellLoad) pollReady() {
	l.routed = l.routed[:0]
	for _, n := range l.tier.nodes {
		if ready, _ := n.core.Ready(); ready && !n.dead {
			l.routed = append(l.routed, n.self.ID)
		}
	}
	l.tier.Loop.After(balancerLagMs, l.pollReady)
}

// stream calls send at random times with the given mean rate until end.
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

// pick chooses a VM as the balancer would; a broken connection is tried elsewhere.
func (l *cellLoad) pick(not string) *tierNode {
	for range 20 {
		if len(l.routed) == 0 {
			break
		}
		n := l.tier.byID[l.routed[l.rng.IntN(len(l.routed))]]
		if !n.dead && n.self.ID != not {
			return n
		}
	}
	for _, n := range l.tier.nodes {
		if !n.dead {
			return n
		}
	}
	return nil
}

func (l *cellLoad) query(r rank.Rank) {
	if n := l.pick(""); n != nil {
		l.send(n, &request{rank: r})
	}
}

// order submits a new order and sometimes repeats it through another VM.
func (l *cellLoad) order() {
	n := l.pick("")
	if n == nil {
		return
	}
	all := rank.All()
	r := all[l.rng.IntN(len(all))]
	id := fmt.Sprintf("%d-%d", l.tier.Loop.Now(), l.tier.calls)
	first := n.self.ID
	l.send(n, &request{rank: r, order: true, id: id})
	for l.rng.IntN(100) < repeatPercent {
		after := clock.Millis(l.rng.Int64N(int64(repeatWithinMs)))
		l.tier.Loop.After(after, func() {
			if other := l.pick(first); other != nil {
				l.send(other, &request{rank: r, order: true, id: id})
			}
		})
	}
}

func (l *cellLoad) send(n *tierNode, q *request) {
	t := l.tier
	t.calls++
	q.call, q.vm, q.life, q.sent = t.calls, n.self.ID, n.life, t.Loop.Now()
	if q.id == "" {
		q.id = fmt.Sprintf("q%d", q.call)
	}
	q.body = fmt.Sprintf("%s/%d", q.id, q.call)
	l.requests = append(l.requests, q)
	l.byCall[q.call] = q
	cur := t.Config.Record.CurrentPreset()
	q.due = max(q.sent, n.resume) + cur.Policy(q.rank).DeadlineMs + answerGraceMs
	if q.order {
		n.update(vm.OrderMsg{
			CallID: q.call, ID: q.id, Rank: q.rank, Service: "orders",
			Group: fmt.Sprintf("d%02d", l.rng.IntN(t.Config.OrderGroups)), Body: []byte(q.body),
		})
		return
	}
	n.update(vm.QueryMsg{CallID: q.call, ID: q.id, Rank: q.rank, Service: "search", Body: []byte(q.body), MinCoverage: -1})
}

// receive notes an answer that a VM sends to a caller.
func (l *cellLoad) receive(call uint64, cmd vm.Cmd) {
	q := l.byCall[call]
	if q == nil {
		return
	}
	q.answers = append(q.answers, cmd)
	if len(q.answers) == 1 {
		q.at = l.tier.Loop.Now()
	}
	if l.answered != nil {
		l.answered(q, cmd)
	}
}

// killed marks the requests that a killed VM cannot answer any more. Their
// callers see a broken connection, and repeat orders elsewhere.
func (l *cellLoad) killed(id string, life int) {
	for _, q := range l.requests {
		if q.vm != id || q.life != life || len(q.answers) > 0 {
			continue
		}
		q.lost = true
		if q.order {
			l.tier.Loop.After(50, func() {
				if other := l.pick(id); other != nil {
					l.send(other, &request{rank: q.rank, order: true, id: q.id})
				}
			})
		}
	}
}

// paused gives the requests of a paused VM the time of the pause.
func (l *cellLoad) paused(id string, until clock.Millis) {
	for _, q := range l.requests {
		if q.vm == id && len(q.answers) == 0 {
			q.due = max(q.due, until+answerGraceMs)
		}
	}
}

// answers counts the requests by how they ended.
func (l *cellLoad) answers() map[string]int {
	count := make(map[string]int)
	for _, q := range l.requests {
		if q.lost {
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
