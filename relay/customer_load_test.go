package relay_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

// loadRun plays callers with keys against one VM with two upstreams. Each upstream works on
// two requests at a time, 20 ms each, so that they bear 200 requests a second together.
type loadRun struct {
	m        *relay.Model
	busy     map[string][]clock.Millis // by upstream: when its slots become free
	replies  map[clock.Millis][]uint64 // attempts that end, by time
	arrived  map[uint64]clock.Millis   // by request
	keys     map[uint64]string
	asked    map[string]int // by key
	inTime   map[string]int // by key
	sends    int
	relayed  int
	slowFrom clock.Millis // when the upstreams take twice as long; 0 for never
}

const (
	loadSlots     = 2
	loadServiceMs = 20
	loadTargetMs  = 200
)

func newLoadRun(customers ...customer.Customer) *loadRun {
	m := relay.New(relay.WithSelf("vm", "a"), relay.WithVMs(1), relay.WithBudget(productionBudget))
	m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{
		Version: 1, Customers: customers, Services: []route.Service{{Name: "s", MaxConnections: 110}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Service: "s", Idempotent: true, TimeoutMs: 1000, TargetMs: loadTargetMs, MaxAttempts: 1}},
	})})
	l := &loadRun{
		m: m, busy: make(map[string][]clock.Millis), replies: make(map[clock.Millis][]uint64), arrived: make(map[uint64]clock.Millis),
		keys: make(map[uint64]string), asked: make(map[string]int), inTime: make(map[string]int),
	}
	for _, id := range []string{"u0", "u1"} {
		l.busy[id] = make([]clock.Millis, loadSlots)
		m.Update(1000, relay.UpstreamMsg{Upstream: relay.Upstream{ID: id, Service: "s", Address: id, DataCentre: "a", Slots: loadSlots}})
	}
	return l
}

// play sends requests for some time, each key at its rate a second.
func (l *loadRun) play(seconds int, rates map[string]float64, keys ...string) {
	rng := rand.New(rand.NewPCG(1, 1))
	id := uint64(0)
	for now := clock.Millis(2000); now < 2000+clock.Millis(seconds)*clock.Second; now++ {
		for _, attempt := range l.replies[now] {
			l.perform(now, l.m.Update(now, relay.ReplyMsg{Attempt: attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}}))
		}
		for _, key := range keys {
			if rng.Float64() < rates[key]/float64(clock.Second) {
				id++
				l.arrived[id], l.keys[id] = now, key
				l.asked[key]++
				l.perform(now, l.m.Update(now, relay.ArrivalMsg{ID: id, Name: fmt.Sprint("r", id), Host: "h", Path: "/x", Key: key, RemainingMs: 1000}))
			}
		}
		l.perform(now, l.m.Update(now, relay.TickMsg{}))
	}
}

func (l *loadRun) perform(now clock.Millis, cmds []relay.Cmd) {
	for _, c := range slices.Clone(cmds) {
		switch c := c.(type) {
		case relay.SendCmd:
			l.sends++
			slots := l.busy[c.Upstream]
			free := 0
			for i := range slots {
				if slots[i] < slots[free] {
					free = i
				}
			}
			slots[free] = max(slots[free], now) + l.serviceMs(now)
			l.replies[slots[free]] = append(l.replies[slots[free]], c.Attempt)
		case relay.CreditCmd:
			l.perform(now, l.m.Update(now, relay.CreditMsg{Request: c.Request, Granted: true}))
		case relay.AnswerCmd:
			if c.Answer.Outcome == relay.Relayed {
				l.relayed++
			}
			if c.Answer.Outcome == relay.Relayed && now-l.arrived[c.ID] <= loadTargetMs {
				l.inTime[l.keys[c.ID]]++
			}
		}
	}
}

func (l *loadRun) serviceMs(now clock.Millis) clock.Millis {
	if l.slowFrom > 0 && now >= l.slowFrom {
		return 2 * loadServiceMs
	}
	return loadServiceMs
}

func (l *loadRun) share(key string) float64 { return float64(l.inTime[key]) / float64(l.asked[key]) }

// TestCustomerPriorityUnderLoad guards against a customer whose service suffers from the
// load of others with a lower priority, and against room that is left idle by it.
func TestCustomerPriorityUnderLoad(t *testing.T) {
	customers := []customer.Customer{{Name: "first", Keys: []string{"k0"}}, {Name: "last", Keys: []string{"k3"}, Priority: 3}}
	const seconds, capacity = 60, 200.0
	alone := newLoadRun(customers...)
	alone.play(seconds, map[string]float64{"k0": 100}, "k0")
	for _, flood := range []float64{100, 200, 1000} {
		l := newLoadRun(customers...)
		l.play(seconds, map[string]float64{"k0": 100, "k3": flood}, "k0", "k3")
		used := float64(l.sends) / seconds / capacity
		t.Logf("other customer at %.0f/s: share in time %.3f and %.3f, alone %.3f; upstreams used %.2f", flood, l.share("k0"), l.share("k3"), alone.share("k0"), used)
		if got, want := l.share("k0"), alone.share("k0")-0.01; got < want {
			t.Errorf("other customer at %.0f/s: got a share of %.3f in time, want at least %.3f", flood, got, want)
		}
		if flood >= capacity && used < 0.9 {
			t.Errorf("other customer at %.0f/s: got %.2f of the upstreams used, want at least 0.9", flood, used)
		}
	}
}

// TestUnknownKeysUnderLoad guards against requests with unknown keys that cost anything but
// their refusal.
func TestUnknownKeysUnderLoad(t *testing.T) {
	c := customer.Customer{Name: "first", Keys: []string{"k0"}}
	alone, flooded := newLoadRun(c), newLoadRun(c)
	alone.play(20, map[string]float64{"k0": 100}, "k0")
	flooded.play(20, map[string]float64{"k0": 100, "k9": 1000}, "k0", "k9")
	if flooded.sends != flooded.asked["k0"] || flooded.inTime["k9"] != 0 {
		t.Errorf("got %d sends and %d answers with the unknown key, want %d sends and no answer", flooded.sends, flooded.inTime["k9"], flooded.asked["k0"])
	}
	if got, want := flooded.share("k0"), alone.share("k0")-0.01; got < want {
		t.Errorf("got a share of %.3f in time, want at least %.3f", got, want)
	}
}
