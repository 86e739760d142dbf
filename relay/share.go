package relay

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fairshare"
	"lentillink.example/lentillink/route"
)

const (
	// maxShares bounds the priorities that are kept apart. Those beyond it share one account.
	maxShares = 64

	// minWeight is the least weight of a customer, as a share of the mean.
	minWeight = 0.1
)

// shares divides room between customers, for each priority.
type shares map[priority]*fairshare.Account

func (s *shares) account(p priority) *fairshare.Account {
	if *s == nil {
		*s = make(shares)
	}
	a := (*s)[p]
	if a == nil {
		if len(*s) >= maxShares {
			p = priority{customer: maxShares, route: maxShares}
		}
		if a = (*s)[p]; a == nil {
			a = &fairshare.Account{}
			(*s)[p] = a
		}
	}
	return a
}

// find returns the account of a priority without adding it.
func (s *shares) find(p priority) *fairshare.Account {
	if a := (*s)[p]; a != nil {
		return a
	}
	return &fairshare.Account{}
}

// setShare finds the account of a request's customer. Shards have one for all of them, so
// that the parts of a query have the same order at each shard. Requests without a customer
// count as one customer.
func (m *Model) setShare(r *request) {
	s := &m.shardShares
	if sub := r.subrequests[0]; !r.gathers() && !sub.service.isShard {
		s = &sub.service.shares
	}
	if r.customer != "" {
		r.workMs = clock.Millis(m.statsFor(r.route).medianMs)
	}
	if m.readOnly {
		r.share = s.find(r.priority).Find(r.customer, m.weightOf(r.customer))
		return
	}
	r.share = s.account(r.priority).Flow(r.customer, m.weightOf(r.customer))
}

// weightOf returns the weight of a customer: its rate, or 1 if it has none.
func (m *Model) weightOf(name string) float64 {
	if m.table == nil || m.meanRate == 0 {
		return 1
	}
	c, ok := m.table.Customers().Named(name)
	if !ok || c.RatePerS <= 0 {
		return 1
	}
	return max(c.RatePerS/m.meanRate, minWeight)
}

// meanRate returns the mean rate of the customers that have one, 0 if none has.
func meanRate(t *route.Table) float64 {
	sum, n := 0.0, 0
	for _, c := range t.Customers().All() {
		if c.RatePerS > 0 {
			sum += c.RatePerS
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// shareCost is what an attempt costs the share of its customer. A request costs 1 on a VM
// that sends each of its parts once.
func (sub *subrequest) shareCost() float64 { return 1 / float64(max(sub.req.totalSubrequests, 1)) }

// queuedAhead returns how many queued sub-requests are served before a new one of r.
func (s *service) queuedAhead(r *request) int {
	n, own := 0, 0.0
	for _, sub := range s.queue {
		switch {
		case sub.req.answered || r.priority.precedes(sub.req.priority):
		case sub.req.priority != r.priority || sub.req.share == r.share:
			n++
			if sub.req.priority == r.priority {
				own += sub.shareCost()
			}
		}
	}
	scan := r.share.Before(own)
	for _, sub := range s.queue {
		if sub.req.answered || sub.req.priority != r.priority || sub.req.share == r.share {
			continue
		}
		if scan.Precedes(sub.req.share, sub.shareCost()) {
			n++
		}
	}
	return n
}
