package experiment

import (
	"fmt"

	"lentillink.example/lentillink/admission"
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/pool"
	"lentillink.example/lentillink/query"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/upstream"
)

const (
	capacityQueries  = 400
	capacityAttempts = 40_000
	capacityKeys     = 10 // keys and rows per group
	capacityService  = "search"
	capacityVersion  = 1
)

func (c *capacityCosts) measureQueries(r *Report, m meter, seed uint64) {
	for _, groups := range []int{10, 20, 40, int(targetGroups)} {
		size := fmt.Sprintf(", %d groups", groups)
		harness := newQueryHarness(seed, groups)
		harness.run(capacityQueries / 10) // warm-up: fills the latency estimates and the maps
		c.query = m.measure(capacityQueries, func() { harness.run(capacityQueries) })
		m.report(r, c.query, "query", size)
		growth, _ := heapGrowth(func() *queryHarness { harness.open(capacityQueries); return harness })
		c.openQueryBytes = growth / capacityQueries
		r.AddUnbounded("open query memory"+size, "bytes", 0, c.openQueryBytes)
	}
}

// queryHarness replies immediately to each attempt of a query.Model with the rows of its group.
type queryHarness struct {
	model        *query.Model
	now          clock.Millis
	next         int
	sent         []attempt.Request
	ranges       map[string][]coverage.Range
	rows         map[string][]coverage.Row
	heldVersions []uint64
}

func newQueryHarness(seed uint64, groups int) *queryHarness {
	list, svc := capacityUpstreams(groups)
	harness := &queryHarness{
		ranges: make(map[string][]coverage.Range), rows: make(map[string][]coverage.Row), heldVersions: []uint64{capacityVersion},
	}
	balancer := upstream.New(upstream.WithUpstreams(list), upstream.WithSeed(seed))
	for _, u := range list {
		balancer.RecordReply(0, u.ID, attempt.Reply{Status: attempt.VersionGone, HeldVersions: harness.heldVersions})
	}
	for i, g := range svc.Groups {
		from := uint32(i * capacityKeys)
		harness.ranges[g.Name] = []coverage.Range{{From: from, To: from + capacityKeys}}
		harness.rows[g.Name] = capacityRows(from, capacityKeys)
	}
	harness.model = query.New(balancer, query.WithServices(svc), query.WithVM("vm-0001", 1))
	return harness
}

// capacityUpstreams returns a service of the given number of groups, with two replicas per group.
func capacityUpstreams(groups int) ([]upstream.Upstream, upstream.Service) {
	svc := upstream.Service{Name: capacityService, Keys: uint32(groups * capacityKeys)}
	var list []upstream.Upstream
	for g := range groups {
		group := upstream.Group{Name: fmt.Sprintf("planner-%04d", g)}
		for _, replica := range []string{"a", "b"} {
			id := upstream.ID(capacityService + "/" + group.Name + "/" + replica)
			group.Replicas = append(group.Replicas, upstream.Upstream{ID: id, Service: svc.Name, Group: group.Name})
		}
		list = append(list, group.Replicas...)
		svc.Groups = append(svc.Groups, group)
	}
	return list, svc
}

func capacityRows(from uint32, n int) []coverage.Row {
	rows := make([]coverage.Row, n)
	for i := range rows {
		rows[i] = coverage.Row{Key: from + uint32(i), Value: "plot with a value"}
	}
	return rows
}

func (q *queryHarness) run(n int) {
	for range n {
		q.open(1)
		for i := range q.sent {
			q.model.Update(q.now, query.ReplyMsg{Reply: q.reply(&q.sent[i])})
		}
	}
}

// open starts n queries and leaves their attempts unanswered.
func (q *queryHarness) open(n int) {
	for range n {
		q.now++
		q.next++
		q.sent = q.sent[:0]
		start := query.StartMsg{ID: fmt.Sprint(q.next), Service: capacityService, Deadline: q.now + 1<<20}
		for _, cmd := range q.model.Update(q.now, start) {
			if send, ok := cmd.(query.SendCmd); ok {
				q.sent = append(q.sent, send.Request)
			}
		}
	}
}

func (q *queryHarness) reply(req *attempt.Request) attempt.Reply {
	return attempt.Reply{
		ID: req.ID, Upstream: req.Upstream, Status: attempt.OK, Execution: attempt.Executed, Version: req.Version, Epoch: 1,
		Ranges: q.ranges[req.Group], HeldVersions: q.heldVersions, Rows: q.rows[req.Group], ServiceMs: 8,
	}
}

func (c *capacityCosts) measurePools(r *Report, m meter) {
	for _, upstreams := range []int{2, 12, 48, 192} {
		harness := newPoolHarness(upstreams)
		harness.run(capacityAttempts / 10)
		got := m.measure(capacityAttempts, func() { harness.run(capacityAttempts) })
		m.report(r, got, "pool attempt", fmt.Sprintf(", %d upstreams", upstreams))
		if upstreams == 12 { // number of upstreams per VM as a carrier in two years
			c.attempt = got
		}
	}
}

type poolHarness struct {
	model *pool.Model
	ids   []string
	seq   uint64
}

func newPoolHarness(upstreams int) *poolHarness {
	harness := &poolHarness{}
	var opts []pool.Option
	for i := range upstreams {
		harness.ids = append(harness.ids, fmt.Sprintf("search/planner-%04d/a", i))
		opts = append(opts, pool.WithUpstream(harness.ids[i], 25))
	}
	harness.model = pool.New(opts...)
	return harness
}

// run passes n attempts through the pool and calls NextWake after each, as the event loop does.
func (p *poolHarness) run(n int) {
	for range n {
		p.seq++
		now := clock.Millis(p.seq / 14)
		id := attempt.ID{VM: "vm-0001", Incarnation: 1, Seq: p.seq}
		up := p.ids[p.seq%uint64(len(p.ids))]
		p.model.Update(now, pool.EnqueueMsg{Request: attempt.Request{ID: id, Upstream: up, Deadline: now + 180}, From: "vm-0002"})
		p.model.Update(now, pool.ReplyMsg{Reply: attempt.Reply{ID: id, Upstream: up, Status: attempt.OK, Execution: attempt.Executed}})
		p.model.NextWake()
	}
}

func (c *capacityCosts) measureAdmission(r *Report, m meter) {
	for _, running := range []int{16, 64, 256} {
		controller := admission.New(admission.WithService(capacityService, 1<<20, 1<<20), admission.WithService("orders", 64, 64))
		n := 0
		run := func(count int) {
			for range count {
				n++
				now := clock.Millis(n / 10)
				controller.Update(now, admission.ArrivalMsg{
					ID: fmt.Sprint(n), Rank: rank.Ordinary, Service: capacityService, Cost: int(targetGroups), Deadline: now + 1<<20,
				})
				if n > running {
					controller.Update(now, admission.DoneMsg{ID: fmt.Sprint(n - running), ElapsedMs: 20})
				}
				controller.NextWake()
			}
		}
		run(2 * running)
		c.decision = m.measure(capacityAttempts, func() { run(capacityAttempts) })
		m.report(r, c.decision, "admission decision", fmt.Sprintf(", %d running", running))
	}
}
