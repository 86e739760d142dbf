package relay_test

import (
	"fmt"
	"math"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/customer"
)

// shareLoad is a load of many customers, of which the first has a multiple of its usual one.
type shareLoad struct {
	name       string
	rates      []float64 // usual requests a second, by customer
	priorities []int     // by customer; all 0 if empty
	limited    bool      // the usual rate is in the configuration
	slowFrom   clock.Millis
}

func (s shareLoad) run(factor float64) *loadRun {
	var list []customer.Customer
	var keys []string
	rates := make(map[string]float64)
	for i, rate := range s.rates {
		c := customer.Customer{Name: fmt.Sprint("c", i), Keys: []string{fmt.Sprint("k", i)}}
		if len(s.priorities) > 0 {
			c.Priority = s.priorities[i]
		}
		if s.limited {
			c.RatePerS, c.Burst = 100*rate, 1000
		}
		list, keys = append(list, c), append(keys, c.Keys[0])
		rates[c.Keys[0]] = rate
	}
	rates["k0"] *= factor
	l := newLoadRun(list...)
	l.slowFrom = s.slowFrom
	l.play(60, rates, keys...)
	return l
}

// equal returns equal rates of n customers with a sum.
func equal(n int, sum float64) []float64 {
	rates := make([]float64, n)
	for i := range rates {
		rates[i] = sum / float64(n)
	}
	return rates
}

// zipf returns rates of n customers that fall with their index, the one of a middle size first.
func zipf(n int, sum float64) []float64 {
	rates, total := make([]float64, n), 0.0
	for i := range rates {
		rates[i] = 1 / float64(i+1)
		total += rates[i]
	}
	for i := range rates {
		rates[i] *= sum / total
	}
	rates[0], rates[4] = rates[4], rates[0]
	return rates
}

// maxLoss is how much of its share in time a customer may lose by the load of another one.
const maxLoss = 0.02

// TestHotCustomer guards against a customer whose service suffers from the load of another
// one of its priority or a lower one, and against room that is left idle by it.
func TestHotCustomer(t *testing.T) {
	const n, capacity = 21, 200.0
	hotFirst, hotLast := make([]int, n), make([]int, n)
	for i := range n {
		hotFirst[i], hotLast[i] = i%2, 1-i%2
	}
	loads := []shareLoad{
		{name: "equal", rates: equal(n, 0.8*capacity)},
		{name: "equal, with rates", rates: equal(n, 0.8*capacity), limited: true},
		{name: "two ranks, hot in the first", rates: equal(n, 0.8*capacity), priorities: hotFirst},
		{name: "two ranks, hot in the last", rates: equal(n, 0.8*capacity), priorities: hotLast},
		{name: "Zipf", rates: zipf(n, 0.8*capacity)},
		{name: "Zipf, with rates", rates: zipf(n, 0.8*capacity), limited: true},
		{name: "room halved", rates: equal(n, 0.4*capacity), slowFrom: 30 * clock.Second},
	}
	for _, load := range loads {
		usual := load.run(1)
		for _, factor := range []float64{10, 100} {
			l := load.run(factor)
			who, loss := load.worst(usual, l)
			t.Logf("%s, %.0f times: largest loss %.3f (%s, %.3f before); hot one %.3f in time, %d of %d answered in all, %d before; attempts %d, before %d",
				load.name, factor, loss, who, usual.share(who), l.share("k0"), l.relayed, len(l.keys), usual.relayed, l.sends, usual.sends)
			if loss > maxLoss {
				t.Errorf("%s, %.0f times: got a loss of %.3f of the share in time for %s, want at most %.2f", load.name, factor, loss, who, maxLoss)
			}
			if asked := float64(len(l.keys)) / 60; load.slowFrom == 0 && asked > capacity && float64(l.sends) < 0.95*capacity*60 {
				t.Errorf("%s, %.0f times: got %d attempts, want the room used", load.name, factor, l.sends)
			}
		}
	}
}

// worst returns the customer that lost the most among those that the hot one must not delay.
func (s shareLoad) worst(usual, hot *loadRun) (key string, loss float64) {
	loss = math.Inf(-1)
	for i := 1; i < len(s.rates); i++ {
		if len(s.priorities) > 0 && s.priorities[i] > s.priorities[0] {
			continue
		}
		k := fmt.Sprint("k", i)
		if l := usual.share(k) - hot.share(k); l > loss {
			key, loss = k, l
		}
	}
	return key, loss
}
