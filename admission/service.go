package admission

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/quantile"
	"lentillink.example/lentillink/rank"
)

const (
	// A query is accepted only if its remaining time is at least the median of the
	// completion times. With less time it more likely wastes capacity than finishes.
	medianQuantile = 0.5

	// A queued query starts only while its remaining time is at least tailFactor times
	// the tail quantile of the completion times: under overload the slowest of its
	// sub-requests waits far longer than usual. This part is capped at half the
	// time from the query's arrival to its deadline, so that short deadlines are served
	// as well.
	tailQuantile = 0.95
	tailFactor   = 2

	// maxCreditQueries bounds the credit of a rank, in queries of mean cost.
	maxCreditQueries = 2

	defaultRetryMs clock.Millis = 1000
	minRetryMs     clock.Millis = 50
	maxRetryMs     clock.Millis = 60 * clock.Second

	// maxBalanceMs bounds how long a rank is held back after one query that exceeded its floor.
	maxBalanceMs = 200

	// gapWeight is the weight of a new sample in completionGap.meanMs.
	gapWeight = 0.1
)

// service holds the limit, which the ranks share, and the queues of one service.
type service struct {
	name            string
	limit           limit
	runningCost     int // over all ranks
	rankRunningCost rank.Table[int]
	rankRunning     rank.Table[int] // number of running queries
	queues          rank.Table[queue]
	medianTime      rank.Table[quantile.Window]
	tailTime        rank.Table[quantile.Window]
	completions     rank.Table[completionGap]
	refused         rank.Table[[reasonCount]int]

	// floorBalance is the integral over time of the floor minus the running cost. With
	// it a rank whose floor is not a whole number of queries gets its floor on average.
	floorBalance rank.Table[float64]
	balancedAt   clock.Millis

	// credit is the cost that a rank with queued queries may start before the others.
	// It grows by the rank's floor share of all started cost, so the rank gets that
	// share of the throughput even if its queries run longer than those of other ranks.
	credit rank.Table[float64]
}

// completionGap is a moving average of the time between completions of one rank.
type completionGap struct {
	meanMs float64
	lastAt clock.Millis
}

func newService(sc serviceConfig, cfg config) *service {
	s := &service{name: sc.name, limit: newLimit(sc, cfg)}
	for _, r := range rank.All() {
		s.medianTime.Set(r, quantile.NewWindow(medianQuantile))
		s.tailTime.Set(r, quantile.NewWindow(tailQuantile))
	}
	return s
}

func (s *service) start(q *query, p preset.Preset) {
	s.updateCredit(q, p)
	s.runningCost += q.cost
	*s.rankRunningCost.Ref(q.rank) += q.cost
	*s.rankRunning.Ref(q.rank)++
	s.limit.recordStart(s.runningCost, q.cost)
}

// updateCredit handles the start of q. It adds the floor share of its cost to the
// credit of each rank with queued queries and of the rank of q, and charges the
// whole cost to the rank of q. The other ranks lose their credit.
func (s *service) updateCredit(q *query, p preset.Preset) {
	for _, r := range rank.All() {
		if s.queues.Ref(r).len() == 0 && r != q.rank {
			s.credit.Set(r, 0)
			continue
		}
		gain := float64(q.cost) * p.Policy(r).FloorPercent / 100
		s.credit.Set(r, min(s.credit.At(r)+gain, maxCreditQueries*s.limit.meanCost))
	}
	s.credit.Set(q.rank, max(s.credit.At(q.rank)-float64(q.cost), 0))
}

func (s *service) finish(now clock.Millis, q *query, elapsed clock.Millis) {
	s.runningCost -= q.cost
	*s.rankRunningCost.Ref(q.rank) -= q.cost
	*s.rankRunning.Ref(q.rank)--
	s.medianTime.Ref(q.rank).Add(now, elapsed)
	s.tailTime.Ref(q.rank).Add(now, elapsed)
	completions := s.completions.Ref(q.rank)
	if completions.lastAt > 0 {
		completions.meanMs += gapWeight * (float64(now-completions.lastAt) - completions.meanMs)
	}
	completions.lastAt = now
}

// updateBalances integrates the floor balances up to now.
func (s *service) updateBalances(now clock.Millis, p preset.Preset) {
	elapsed := float64(now - s.balancedAt)
	if elapsed <= 0 {
		return
	}
	s.balancedAt = now
	for _, r := range rank.All() {
		queue := s.queues.Ref(r)
		if queue.len() == 0 && s.rankRunningCost.At(r) == 0 {
			s.floorBalance.Set(r, 0)
			continue
		}
		floor := s.floor(r, p)
		bound := float64(s.limit.meanCost) * maxBalanceMs
		gain := floor - min(float64(s.rankRunningCost.At(r)), floor+s.limit.meanCost)
		s.floorBalance.Set(r, min(max(s.floorBalance.At(r)+gain*elapsed, -bound), bound))
	}
}

func (s *service) floor(r rank.Rank, p preset.Preset) float64 {
	return float64(s.limit.value()) * p.Policy(r).FloorPercent / 100
}

// nextRank returns the rank to serve next, or -1 if nothing is queued. A rank below
// its floor goes first, then one with enough credit. The remaining capacity is lent
// in order of urgency.
func (s *service) nextRank(p preset.Preset) int {
	mostUrgent, credited := -1, -1
	for _, r := range rank.All() {
		queue := s.queues.Ref(r)
		if queue.len() == 0 {
			continue
		}
		if s.belowFloor(r, p) {
			return int(r)
		}
		if credited < 0 && s.credit.At(r) >= s.limit.meanCost {
			credited = int(r)
		}
		if mostUrgent < 0 {
			mostUrgent = int(r)
		}
	}
	if credited >= 0 {
		return credited
	}
	return mostUrgent
}

func (s *service) belowFloor(r rank.Rank, p preset.Preset) bool {
	floor := s.floor(r, p)
	running := float64(s.rankRunningCost.At(r))
	if running+s.limit.meanCost <= floor {
		return true
	}
	return running < floor && s.floorBalance.At(r) >= 0
}

// fits reports whether q fits under the limit. A query larger than the whole limit
// runs alone.
func (s *service) fits(q *query) bool {
	return s.runningCost == 0 || s.runningCost+q.cost <= s.limit.value()
}

// cannotMeetDeadline reports whether the queued query q can no longer finish by its deadline.
func (s *service) cannotMeetDeadline(now clock.Millis, q *query) bool {
	return now >= q.dueAt || now+s.requiredTime(now, q, q.dueAt) > q.dueAt
}

// requiredTime returns the remaining time that a queued query must have to start.
func (s *service) requiredTime(now clock.Millis, q *query, due clock.Millis) clock.Millis {
	required := min(tailFactor*s.tailTime.Ref(q.rank).Estimate(now), (due-q.arrivedAt)/2)
	return max(required, s.medianTime.Ref(q.rank).Estimate(now))
}

// canFinish reports whether a query that has just arrived can finish by its deadline
// if it starts now.
func (s *service) canFinish(now clock.Millis, q *query, policy preset.RankPolicy) bool {
	deadline := effectiveDeadline(q, policy)
	return now < deadline && now+s.medianTime.Ref(q.rank).Estimate(now) <= deadline
}

// retryAfter estimates the time until the queue of r is empty, as a retry delay.
func (s *service) retryAfter(now clock.Millis, r rank.Rank) clock.Millis {
	completions := s.completions.At(r)
	if completions.lastAt == 0 {
		return defaultRetryMs
	}
	gap := max(completions.meanMs, 0)
	queue := s.queues.Ref(r)
	wait := clock.Millis(gap*float64(queue.len()+1)) + s.medianTime.Ref(r).Estimate(now)
	return min(max(wait, minRetryMs), maxRetryMs)
}

// effectiveDeadline limits the deadline of q by the policy of its rank.
func effectiveDeadline(q *query, policy preset.RankPolicy) clock.Millis {
	bound := q.arrivedAt + policy.DeadlineMs
	if q.deadline == 0 {
		return bound
	}
	if policy.DeadlineMs <= 0 {
		return q.deadline
	}
	return min(q.deadline, bound)
}
