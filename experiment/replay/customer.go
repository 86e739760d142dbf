package replay

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/relay"
)

// crowded is a size with customers and so many VMs that none sees much of one customer.
var crowded = Size{VMs: 77, Shards: 20, Replicas: 2, CPUMilli: 192, Customers: 21, Budget: relay.BudgetMsg{Ratio: 0.2, Extra: 194, WindowMs: 10 * clock.Second}}

func customerName(i int) string { return fmt.Sprintf("c%d", i) }

func keyOf(customer string) string {
	if customer == "" {
		return ""
	}
	return "key-" + customer
}

func outcomeKey(route, customer string) string { return route + customer }

// customersOf returns n customers. With two ranks, every other one goes first.
func customersOf(n int, twoRanks bool) []customer.Customer {
	var list []customer.Customer
	for i := range n {
		c := customer.Customer{Name: customerName(i), Keys: []string{keyOf(customerName(i))}, Priority: 1}
		if twoRanks && i%2 == 1 {
			c.Priority = 0
		}
		list = append(list, c)
	}
	return list
}

// CustomerRun is a load of customers that have the same usual rate.
type CustomerRun struct {
	PerSecond float64      // usual rate of all customers together
	Factor    float64      // by which the first customer exceeds its rate
	TwoRanks  bool         // every other customer goes first, the hot one does not
	Kills     int          // carriers that are killed from 10 s on, one a second
	SlowFrom  clock.Millis // when the upstreams take twice as long; 0 for never
}

// Run replays the load and returns the outcomes by customer.
func (c CustomerRun) Run(seed uint64) (*Simulation, []*Outcome) {
	size := crowded
	size.TwoRanks = c.TwoRanks
	w := New(seed, size)
	out := make([]*Outcome, crowded.Customers)
	from := w.now
	for i := range out {
		rate := c.PerSecond / float64(crowded.Customers)
		if i == 0 {
			rate *= c.Factor
		}
		w.loadOf("ordinary", customerName(i), rate, from, from+loadMs)
		out[i] = w.outcomes[outcomeKey("ordinary", customerName(i))]
	}
	if c.SlowFrom > 0 {
		w.at(from+c.SlowFrom, func() {
			for _, u := range w.upstreams {
				u.factor = 2
			}
		})
	}
	w.killCarriers(c.Kills, from+10*clock.Second, clock.Second)
	w.runUntil(from + loadMs + drainMs)
	return w, out
}

// ShareInTime returns the share of the requests that were answered within the target.
func (o *Outcome) ShareInTime() float64 { return float64(o.inTarget) / float64(max(o.sent, 1)) }

// Sent returns the number of requests.
func (o *Outcome) Sent() int { return o.sent }

// Answered returns the number of requests that were answered, in time or late.
func (o *Outcome) Answered() int { return o.inTarget + o.late }
