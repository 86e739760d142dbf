package experiment

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/pool"
	"lentillink.example/lentillink/rank"
)

// connMaxAttempts bounds the attempts of a sub-request. Only attempts known not to have executed are retried.
const connMaxAttempts = 3

// connResult holds the figures of one variant at one load.
type connResult struct {
	subrequestP50, subrequestP99, queryP50, queryP99 float64
	failed, opened                                   float64 // per 1,000 sub-requests
	maxOpen                                          float64
}

// connFleet is one run of one variant.
type connFleet struct {
	loop            *Loop
	carriers        bool
	upstreams       []string
	vms             []*connVM
	byName          map[string]*connVM
	calls           map[uint64]*connCall
	seq             uint64
	subrequestMs    *hdrhistogram.Histogram
	queryMs         *hdrhistogram.Histogram
	subrequestCount int
	failed          int
	maxOpen         int
}

// connVM is one VM with its connection pool.
type connVM struct {
	fleet     *connFleet
	index     int
	name      string
	pool      *pool.Model
	routes    []connRoute
	fullLimit []bool // by upstream: whether this VM may open a carrier's full limit of connections
	nextWake  clock.Millis
}

// connCall is one sub-request in flight.
type connCall struct {
	query      *connQuery
	vm         *connVM
	upstream   int
	carrier    int // index of the VM that the last attempt was sent to
	subrequest connSubrequest
	attempts   int
}

// connQuery is one query in flight.
type connQuery struct {
	arrivedAt clock.Millis
	remaining int
	failed    bool
}

func runConnections(load connLoad, arrivals []connArrival, carriers bool) connResult {
	f := newConnFleet(carriers)
	if load.lagMs > 0 && carriers {
		f.scheduleLeaveAndJoin(load.lagMs)
	}
	for i := range arrivals {
		a := &arrivals[i]
		f.loop.At(a.at, func() { f.arrive(a) })
	}
	f.loop.RunUntil(load.durationMs + 2*connDeadlineMs)
	return f.result()
}

func newConnFleet(carriers bool) *connFleet {
	f := &connFleet{
		loop: NewLoop(0), carriers: carriers,
		byName: make(map[string]*connVM), calls: make(map[uint64]*connCall),
		subrequestMs: hdrhistogram.New(1, 60_000, 3), queryMs: hdrhistogram.New(1, 60_000, 3),
	}
	for g := range connGroups {
		for r := range connReplicas {
			f.upstreams = append(f.upstreams, fmt.Sprintf("search/g%d/%d", g, r))
		}
	}
	for i := range connVMs {
		v := &connVM{fleet: f, index: i, name: fmt.Sprintf("vm%d", i), pool: pool.New()}
		v.routes = make([]connRoute, len(f.upstreams))
		v.fullLimit = make([]bool, len(f.upstreams))
		f.vms = append(f.vms, v)
		f.byName[v.name] = v
	}
	for _, v := range f.vms {
		if carriers {
			v.setInitialMembers(connMembers(-1))
		} else {
			v.setStaticLimits()
		}
	}
	return f
}

func (f *connFleet) arrive(a *connArrival) {
	q := &connQuery{arrivedAt: a.at, remaining: connGroups}
	for g, sub := range a.subrequests {
		f.subrequestCount++
		c := &connCall{query: q, vm: f.vms[a.vm], upstream: g*connReplicas + int(sub.replica), subrequest: sub}
		c.vm.send(c)
	}
}

// send passes a sub-request to a carrier's pool, which may be that of v itself.
func (v *connVM) send(c *connCall) {
	f := v.fleet
	route := &v.routes[c.upstream]
	k := route.pick()
	// A VM that is no longer a carrier rejects requests immediately, so it would
	// always have the least outstanding work. A retry uses the other carrier.
	if c.attempts > 0 && route.vms[k] == c.carrier {
		k = 1 - k
	}
	route.outstanding[k]++
	c.carrier = route.vms[k]
	c.attempts++
	f.seq++
	f.calls[f.seq] = c
	msg := pool.EnqueueMsg{From: v.name, Request: attempt.Request{
		ID: attempt.ID{VM: v.name, Seq: f.seq}, Upstream: f.upstreams[c.upstream],
		Rank: rank.Urgent, Deadline: c.query.arrivedAt + connDeadlineMs,
	}}
	carrier := f.vms[c.carrier]
	f.loop.After(v.hop(carrier), func() { carrier.update(msg) })
}

func (v *connVM) hop(to *connVM) clock.Millis {
	if v == to {
		return 0
	}
	return connHopMs
}

func (v *connVM) update(msg pool.Msg) {
	for _, c := range v.pool.Update(v.fleet.loop.Now(), msg) {
		v.perform(c)
	}
	at, ok := v.pool.NextWake()
	if !ok || (v.nextWake > 0 && v.nextWake <= at) {
		return
	}
	v.nextWake = at
	v.fleet.loop.At(at, func() {
		if v.nextWake == at {
			v.nextWake = 0
			v.update(pool.TickMsg{})
		}
	})
}

func (v *connVM) perform(c pool.Cmd) {
	f := v.fleet
	switch c := c.(type) {
	case pool.DispatchCmd:
		ms := clock.Millis(f.calls[c.ID.Seq].subrequest.serviceMs)
		if c.NewConn {
			ms += connOpenMs
			f.countOpen(c.Upstream)
		}
		reply := attempt.Reply{ID: c.ID, Upstream: c.Upstream, Status: attempt.OK, Execution: attempt.Executed}
		f.loop.After(ms, func() { v.update(pool.ReplyMsg{Reply: reply}) })
	case pool.AbortCmd:
		f.loop.After(1, func() { v.update(pool.AbortedMsg{ID: c.ID}) })
	case pool.ReturnCmd:
		to := f.byName[c.To]
		f.loop.After(v.hop(to), func() { to.result(c.Reply) })
	}
}

// countOpen records the highest number of connections to the upstream that all VMs together have open.
func (f *connFleet) countOpen(upstream string) {
	open := 0
	for _, v := range f.vms {
		open += v.pool.OpenConns(upstream)
	}
	f.maxOpen = max(f.maxOpen, open)
}

// result completes a sub-request, or retries it if the attempt is known not to have executed.
func (v *connVM) result(r attempt.Reply) {
	f := v.fleet
	c := f.calls[r.ID.Seq]
	delete(f.calls, r.ID.Seq)
	route := &v.routes[c.upstream]
	for k, vm := range route.vms {
		if vm == c.carrier && route.outstanding[k] > 0 {
			route.outstanding[k]--
			break
		}
	}
	if r.Status == attempt.NotSent && c.attempts < connMaxAttempts && f.loop.Now() < c.query.arrivedAt+connDeadlineMs {
		v.send(c)
		return
	}
	f.finish(c, r.Status == attempt.OK)
}

// finish records the latency of a sub-request, and that of its query after the
// last one. A failure counts as the full deadline.
func (f *connFleet) finish(c *connCall, ok bool) {
	elapsed := f.loop.Now() - c.query.arrivedAt
	if !ok {
		f.failed++
		c.query.failed = true
		elapsed = connDeadlineMs
	}
	_ = f.subrequestMs.RecordValue(int64(elapsed))
	if c.query.remaining--; c.query.remaining > 0 {
		return
	}
	if c.query.failed {
		elapsed = connDeadlineMs
	}
	_ = f.queryMs.RecordValue(int64(elapsed))
}

func (f *connFleet) result() connResult {
	opened := 0
	for _, v := range f.vms {
		for _, upstream := range f.upstreams {
			opened += v.pool.OpenedConns(upstream)
		}
	}
	perThousand := 1000 / float64(f.subrequestCount)
	return connResult{
		subrequestP50: float64(f.subrequestMs.ValueAtQuantile(50)), subrequestP99: float64(f.subrequestMs.ValueAtQuantile(99)),
		queryP50: float64(f.queryMs.ValueAtQuantile(50)), queryP99: float64(f.queryMs.ValueAtQuantile(99)),
		failed: float64(f.failed) * perThousand, opened: float64(opened) * perThousand, maxOpen: float64(f.maxOpen),
	}
}
