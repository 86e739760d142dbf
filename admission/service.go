package admission

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/quantile"
	"lentillink.example/lentillink/rank"
)

const (
	// finishQuantile: a query with less time left than the median completion
	// time is more likely to waste capacity than to finish.
	finishQuantile = 0.5

	// A query that had to wait starts only while it has this many times the
	// tail quantile of the completion times left: under overload the slowest of
	// its sub-requests waits far longer than usual. It never needs more than
	// half of its whole time, so that short deadlines are served as well.
	tailQuantile = 0.95
	tailFactor   = 2

	// maxCredit bounds the admissions that a rank can save up, in queries.
	maxCredit = 2

	defaultRetryMs clock.Millis = 1000
	minRetryMs     clock.Millis = 50
	maxRetryMs     clock.Millis = 60 * clock.Second

	// debtMs bounds how long one query that overshoots its floor keeps the rank back.
	debtMs = 200

	gapWeight = 0.1
)

// service holds the shared limit and the queues of one service.
type service struct {
	name    string
	limit   limit
	total   int             // running cost
	running rank.Table[int] // running cost by rank
	count   rank.Table[int] // running queries by rank
	queues  rank.Table[queue]
	took    rank.Table[quantile.Window]
	tail    rank.Table[quantile.Window]
	drain   rank.Table[drain]
	refused rank.Table[[reasonCount]int]

	// balance integrates floor minus running cost over time. It lets a rank whose
	// floor is not a whole number of queries hold that floor on average.
	balance    rank.Table[float64]
	integrated clock.Millis

	// credit is the cost that a waiting rank may start before the others. It
	// earns its floor's share of all started cost, which gives it that share of
	// the throughput even if its queries run longer than those of other ranks.
	credit rank.Table[float64]
}

// drain measures the time between completions of one rank.
type drain struct {
	gapMs float64
	last  clock.Millis
}

func newService(sc serviceConfig, cfg config) *service {
	s := &service{name: sc.name, limit: newLimit(sc, cfg)}
	for _, r := range rank.All() {
		s.took.Set(r, quantile.NewWindow(finishQuantile))
		s.tail.Set(r, quantile.NewWindow(tailQuantile))
	}
	return s
}

func (s *service) start(q *query, p preset.Preset) {
	s.earn(q, p)
	s.total += q.cost
	*s.running.Ref(q.rank) += q.cost
	*s.count.Ref(q.rank)++
	s.limit.started(s.total, q.cost)
}

// earn credits the waiting ranks for the start of q.
func (s *service) earn(q *query, p preset.Preset) {
	for _, r := range rank.All() {
		if s.queues.Ref(r).len() == 0 && r != q.rank {
			s.credit.Set(r, 0)
			continue
		}
		gain := float64(q.cost) * p.Policy(r).FloorPercent / 100
		s.credit.Set(r, min(s.credit.At(r)+gain, maxCredit*s.limit.typicalCost))
	}
	s.credit.Set(q.rank, max(s.credit.At(q.rank)-float64(q.cost), 0))
}

func (s *service) finish(now clock.Millis, q *query, took clock.Millis) {
	s.total -= q.cost
	*s.running.Ref(q.rank) -= q.cost
	*s.count.Ref(q.rank)--
	s.took.Ref(q.rank).Add(now, took)
	s.tail.Ref(q.rank).Add(now, took)
	d := s.drain.Ref(q.rank)
	if d.last > 0 {
		d.gapMs += gapWeight * (float64(now-d.last) - d.gapMs)
	}
	d.last = now
}

// integrate brings the balances up to now.
func (s *service) integrate(now clock.Millis, p preset.Preset) {
	dt := float64(now - s.integrated)
	if dt <= 0 {
		return
	}
	s.integrated = now
	for _, r := range rank.All() {
		queue := s.queues.Ref(r)
		if queue.len() == 0 && s.running.At(r) == 0 {
			s.balance.Set(r, 0)
			continue
		}
		floor := s.floor(r, p)
		most := float64(s.limit.typicalCost) * debtMs
		gain := floor - min(float64(s.running.At(r)), floor+s.limit.typicalCost)
		s.balance.Set(r, min(max(s.balance.At(r)+gain*dt, -most), most))
	}
}

func (s *service) floor(r rank.Rank, p preset.Preset) float64 {
	return float64(s.limit.value()) * p.Policy(r).FloorPercent / 100
}

// next returns the rank to serve next, or -1 if nothing is queued. A rank
// below its floor goes first, then one with credit; then capacity is lent, most
// urgent first.
func (s *service) next(p preset.Preset) int {
	lend, credited := -1, -1
	for _, r := range rank.All() {
		queue := s.queues.Ref(r)
		if queue.len() == 0 {
			continue
		}
		if s.belowFloor(r, p) {
			return int(r)
		}
		if credited < 0 && s.credit.At(r) >= s.limit.typicalCost {
			credited = int(r)
		}
		if lend < 0 {
			lend = int(r)
		}
	}
	if credited >= 0 {
		return credited
	}
	return lend
}

func (s *service) belowFloor(r rank.Rank, p preset.Preset) bool {
	floor := s.floor(r, p)
	running := float64(s.running.At(r))
	if running+s.limit.typicalCost <= floor {
		return true
	}
	return running < floor && s.balance.At(r) >= 0
}

// fits reports whether q fits under the limit. A query larger than the whole
// limit runs alone.
func (s *service) fits(q *query) bool {
	return s.total == 0 || s.total+q.cost <= s.limit.value()
}

// late reports whether the waiting query q can no longer finish by its deadline.
func (s *service) late(now clock.Millis, q *query) bool {
	return now >= q.due || now+s.reserve(now, q, q.due) > q.due
}

// reserve returns the time that a waiting query needs to run whole.
func (s *service) reserve(now clock.Millis, q *query, due clock.Millis) clock.Millis {
	need := min(tailFactor*s.tail.Ref(q.rank).Estimate(now), (due-q.arrived)/2)
	return max(need, s.took.Ref(q.rank).Estimate(now))
}

func (s *service) canFinish(now clock.Millis, q *query, policy preset.RankPolicy) bool {
	deadline := effectiveDeadline(q, policy)
	return now < deadline && now+s.took.Ref(q.rank).Estimate(now) <= deadline
}

// retryAfter estimates when the queue of r has drained.
func (s *service) retryAfter(now clock.Millis, r rank.Rank) clock.Millis {
	d := s.drain.At(r)
	if d.last == 0 {
		return defaultRetryMs
	}
	gap := max(d.gapMs, 0)
	queue := s.queues.Ref(r)
	wait := clock.Millis(gap*float64(queue.len()+1)) + s.took.Ref(r).Estimate(now)
	return min(max(wait, minRetryMs), maxRetryMs)
}

// effectiveDeadline caps the deadline of q by the policy.
func effectiveDeadline(q *query, policy preset.RankPolicy) clock.Millis {
	most := q.arrived + policy.DeadlineMs
	if q.deadline == 0 {
		return most
	}
	if policy.DeadlineMs <= 0 {
		return q.deadline
	}
	return min(q.deadline, most)
}
