package experiment

import (
	"math"
	"math/rand/v2"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
)

// Upstream is a fake upstream in virtual time. Each connection carries one request
// at a time. Exported fields may be changed during a run to inject faults.
type Upstream struct {
	MedianMs          float64 // median service time
	Sigma             float64 // standard deviation of the log-normal distribution of the service time
	SlowFactor        float64 // multiplies every service time; 1 for a healthy upstream
	SlowRatio         float64 // fraction of requests that take SlowRequestFactor times as long
	SlowRequestFactor float64
	Workers           int // requests served concurrently, others are queued; 0 for no limit
	ShedAbove         int // queue length at which requests are shed; 0 for never
	Dead              bool
	Leaving           bool
	HeldVersions      []uint64
	Epoch             uint64
	Ranges            []coverage.Range
	ColdUntil         clock.Millis // service times are multiplied by ColdFactor before this time
	ColdFactor        float64

	// OnReceive is called for every request that arrives, OnStart for those that are
	// executed. CompleteReply may change the reply to an executed request. All may be nil.
	OnReceive     func(attempt.Request)
	OnStart       func(attempt.Request)
	CompleteReply func(attempt.Request, *attempt.Reply)

	loop       *Loop
	rng        *rand.Rand
	running    int
	queue      []func()
	started    int
	executions map[string]int
}

// NewUpstream returns a healthy upstream with one snapshot version.
func NewUpstream(loop *Loop, rng *rand.Rand, keys coverage.Range) *Upstream {
	return &Upstream{
		MedianMs: 8, Sigma: 0.35, SlowFactor: 1, SlowRequestFactor: 10, ColdFactor: 5,
		HeldVersions: []uint64{1}, Epoch: 1, Ranges: []coverage.Range{keys},
		loop: loop, rng: rng, executions: make(map[string]int),
	}
}

// Started returns the number of requests that the upstream began to execute.
func (u *Upstream) Started() int { return u.started }

// Executions returns how often the upstream began to execute the order with the given id.
func (u *Upstream) Executions(id string) int { return u.executions[id] }

// Serve handles one request and calls done with its reply in virtual time. A dead
// upstream refuses the connection.
func (u *Upstream) Serve(req attempt.Request, done func(attempt.Reply)) {
	reply := attempt.Reply{ID: req.ID, Upstream: req.Upstream, HeldVersions: u.HeldVersions, Epoch: u.Epoch, Leaving: u.Leaving}
	if u.OnReceive != nil {
		u.OnReceive(req)
	}
	if status, refused := u.refusal(req); refused {
		reply.Status, reply.Execution = status, attempt.NotExecuted
		u.loop.After(1, func() { done(reply) })
		return
	}
	begin := u.loop.Now()
	execute := func() {
		u.run(req, func() {
			reply.Status, reply.Execution, reply.Version = attempt.OK, attempt.Executed, req.Version
			reply.Epoch, reply.Ranges, reply.HeldVersions, reply.Leaving = u.Epoch, u.Ranges, u.HeldVersions, u.Leaving
			reply.ServiceMs = u.loop.Now() - begin
			if u.CompleteReply != nil {
				u.CompleteReply(req, &reply)
			}
			done(reply)
		})
	}
	if u.Workers > 0 && u.running >= u.Workers {
		u.queue = append(u.queue, execute)
		return
	}
	execute()
}

func (u *Upstream) refusal(req attempt.Request) (attempt.Status, bool) {
	switch {
	case u.Dead:
		return attempt.ConnRefused, true
	case u.Leaving:
		return attempt.Leaving, true
	case u.ShedAbove > 0 && len(u.queue) >= u.ShedAbove:
		return attempt.Shed, true
	case req.Kind == attempt.Query && !u.holds(req.Version):
		return attempt.VersionGone, true
	}
	return attempt.OK, false
}

func (u *Upstream) run(req attempt.Request, finish func()) {
	u.running++
	u.started++
	if req.Kind == attempt.Order {
		u.executions[req.OrderID]++
	}
	if u.OnStart != nil {
		u.OnStart(req)
	}
	u.loop.After(u.serviceTime(), func() {
		u.running--
		finish()
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			next()
		}
	})
}

func (u *Upstream) serviceTime() clock.Millis {
	ms := u.MedianMs * math.Exp(u.Sigma*u.rng.NormFloat64()) * u.SlowFactor
	if u.rng.Float64() < u.SlowRatio {
		ms *= u.SlowRequestFactor
	}
	if u.loop.Now() < u.ColdUntil {
		ms *= u.ColdFactor
	}
	return clock.Millis(math.Ceil(ms))
}

func (u *Upstream) holds(version uint64) bool {
	for _, v := range u.HeldVersions {
		if v == version {
			return true
		}
	}
	return false
}
