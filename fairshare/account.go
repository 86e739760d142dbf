package fairshare

import (
	"math"

	"lentillink.example/lentillink/clock"
)

const (
	// A flow may take more than its share for a while before its work waits behind that of
	// others: burst requests and usualShare of its use in the last usualMs or so. Without it a
	// customer whose usual load is near its share would lose each time it has a short burst.
	burst                   = 8
	usualShare              = 0.2
	usualMs    clock.Millis = 10 * clock.Second

	// maxFlows bounds the flows of an Account. Customers beyond them share one flow.
	maxFlows = 512
)

// Account holds the flows of customers that compete for the same room. The zero value is
// ready for use. It is not safe for concurrent use.
type Account struct {
	virtual   float64 // tag of the latest work that was given room
	flows     map[string]*Flow
	rest      *Flow   // of the customers beyond maxFlows
	throttled []*Flow // those of which a part is refused
	scan      uint64  // number of the latest Scan
}

// Flow is the use of one customer.
type Flow struct {
	customer    string
	account     *Account
	weight      float64
	finish      float64 // virtual time when the room that it was given has been worked off
	use         float64 // cost that it was charged, decayed with usualMs
	usedAt      clock.Millis
	refused     float64 // part of its requests, see Observe
	throttledAt clock.Millis
	scan        uint64  // scan to which ahead belongs
	ahead       float64 // cost of its work that the scan has met
}

// Flow returns the flow of a customer with the weight that it has now. A weight that is not
// positive counts as 1.
func (a *Account) Flow(customer string, weight float64) *Flow {
	if !(weight > 0) {
		weight = 1
	}
	f := a.flows[customer]
	if f == nil {
		f = a.add(customer)
	}
	if f != a.rest {
		f.weight = weight
	}
	return f
}

// Find is Flow for a decision that nothing else depends on: it adds and changes no flow.
func (a *Account) Find(customer string, weight float64) *Flow {
	if f := a.flows[customer]; f != nil {
		return f
	}
	if !(weight > 0) {
		weight = 1
	}
	return &Flow{account: a, customer: customer, weight: weight, finish: a.virtual}
}

func (a *Account) add(customer string) *Flow {
	if len(a.flows) >= maxFlows {
		a.forgetIdle()
	}
	if len(a.flows) >= maxFlows {
		if a.rest == nil {
			a.rest = &Flow{account: a, weight: 1, finish: a.virtual}
		}
		return a.rest
	}
	if a.flows == nil {
		a.flows = make(map[string]*Flow)
	}
	f := &Flow{account: a, customer: customer, weight: 1, finish: a.virtual}
	a.flows[customer] = f
	return f
}

// forgetIdle removes the flows that a new one would not differ from.
func (a *Account) forgetIdle() {
	for name, f := range a.flows {
		if f.finish <= a.virtual && f.refused == 0 {
			delete(a.flows, name)
		}
	}
}

// Len returns the number of flows.
func (a *Account) Len() int { return len(a.flows) }

// Tag orders the flow among those of its Account: the lowest goes first.
func (f *Flow) Tag() float64 { return f.tagAfter(0) }

// tagAfter returns the tag that the flow would have after a further cost.
func (f *Flow) tagAfter(cost float64) float64 {
	start := max(f.finish, f.account.virtual)
	return max(f.account.virtual, start+(cost-burst-usualShare*f.use)/f.weight)
}

// Customer returns the customer of the flow, empty for that of the customers beyond the bound.
func (f *Flow) Customer() string { return f.customer }

// AboveShare reports whether the flow has used more than its share, so that it gets only
// what others leave.
func (f *Flow) AboveShare() bool { return f.Tag() > f.account.virtual }

// Charge records that work of the flow was given room. The cost of one request is 1.
func (f *Flow) Charge(now clock.Millis, cost float64) {
	a := f.account
	tag := f.Tag()
	f.finish = max(f.finish, a.virtual) + cost/f.weight
	a.virtual = tag
	f.use = f.use*math.Exp(-float64(now-f.usedAt)/float64(usualMs)) + cost
	f.usedAt = now
}
