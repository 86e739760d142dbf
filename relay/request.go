package relay

import (
	"math"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

// request is one request of a caller, until its last attempt has ended.
type request struct {
	id         uint64
	name       string
	hash       uint64 // of the name
	route      *route.Route
	version    uint64
	minShare   float64 // of the shards, below which a gathered answer fails
	arrived    clock.Millis
	due        clock.Millis // final answer: the caller or the route waits no longer
	answerAt   clock.Millis // an answer after this is late
	returning  bool         // the caller was here before
	parts      []*part      // that are gathered here
	done       int          // parts with a reply
	unresolved int          // parts that may still get one
	answered   bool
	answeredAt clock.Millis
	gone       bool // the caller has left
	host       string
	path       string
	shards     int          // parts that the whole answer has
	groups     []*group     // parts that carriers gather
	probing    bool         // has tried an upstream that was slow
	carried    bool         // gathered here for another VM
	reported   bool         // what was in when the answer became late was handed back
	refusedMs  clock.Millis // longest time to come back that a carrier stated
	begun      bool         // a carrier may have begun
	open       int          // attempts that have not ended
	wakeAt     clock.Millis
}

// part is what a request needs of one service.
type part struct {
	req      *request
	service  *service
	centre   string // data centre whose carrier gathers it, if any
	resolved bool   // has a reply, or never will
	reply    *Reply
	last     *Reply // the last reply that was no success
	tried    []*upstream
	mayRun   int // attempts that may have run
	open     []*attempt
	queued   bool
	arrivals int // attempts that reached or may have reached an upstream
	hedged   bool
}

// attempt is one sending of a part to one upstream.
type attempt struct {
	id       uint64
	part     *part
	upstream *upstream
	sentAt   clock.Millis
	patience clock.Millis // after this long a reply is overdue
	hedgeAt  clock.Millis
}

// gathers reports whether the answer is merged from parts.
func (r *request) gathers() bool { return len(r.route.Gather) > 0 }

// least returns how many parts a gathered answer needs.
func (r *request) least() int {
	if !r.gathers() {
		return 1
	}
	// The tolerance keeps 0.9 x 10 from becoming 10 by rounding.
	const tolerance = 1e-9
	if r.carried {
		return 1 // the VM that handed it over decides
	}
	return max(int(math.Ceil(r.minShare*float64(r.shards)-tolerance)), 1)
}

// ran reports whether some attempt may have run.
func (r *request) ran() bool {
	if r.begun {
		return true
	}
	for _, g := range r.groups {
		if !g.notBegun {
			return true // also if the carrier has not confirmed: the message may be on its way
		}
	}
	for _, p := range r.parts {
		if p.mayRun > 0 {
			return true
		}
	}
	return false
}

// before reports whether p is served before q: by priority, then callers that
// return, because they were refused once, then by who has less time left.
func (p *part) before(now clock.Millis, q *part) bool {
	a, b := p.req, q.req
	switch {
	case a.route.Priority != b.route.Priority:
		return a.route.Priority < b.route.Priority
	case (now > a.answerAt) != (now > b.answerAt):
		return now <= a.answerAt // what is late already gives way to what is not
	case a.returning != b.returning:
		return a.returning
	case a.answerAt != b.answerAt:
		return a.answerAt < b.answerAt
	}
	return a.id < b.id
}

func (p *part) triedUpstream(u *upstream) bool {
	for _, t := range p.tried {
		if t == u {
			return true
		}
	}
	return false
}

func (p *part) drop(a *attempt) {
	for i, o := range p.open {
		if o == a {
			p.open = append(p.open[:i], p.open[i+1:]...)
			return
		}
	}
}
