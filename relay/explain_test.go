package relay_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

const secretKey = "key-that-nobody-may-see"

// explainWorld drives two models with the same random messages. One of them explains each
// arrival before it gets it.
type explainWorld struct {
	t                    *testing.T
	rng                  *rand.Rand
	explained, untouched *relay.Model
	now                  clock.Millis
	nextID               uint64
	attempts             []uint64
	delegations          []relay.DelegateCmd
	parked               []uint64
	wanted               map[uint64]relay.Explanation // of the requests that wait for credit
	version              uint64
	sequence             uint64
	upstreams            int
	pace                 int            // longest time between two messages
	seen                 map[string]int // kinds of results
}

func newExplainWorld(t *testing.T, seed uint64, seen map[string]int) *explainWorld {
	w := &explainWorld{t: t, rng: rand.New(rand.NewPCG(seed, 32)), now: 1000, wanted: make(map[uint64]relay.Explanation), seen: seen}
	opts := []relay.Option{relay.WithSelf("v0", "a"), relay.WithSeed(seed), relay.WithBudget(relay.BudgetMsg{Ratio: 0.2, Extra: 20, WindowMs: 10 * clock.Second}), relay.WithPlacingByCost(seed%2 == 1)}
	w.explained, w.untouched = relay.New(opts...), relay.New(opts...)
	w.upstreams, w.pace = 1+w.rng.IntN(8), 4+w.rng.IntN(80)
	if w.rng.IntN(20) > 0 {
		w.configure()
	}
	if w.rng.IntN(3) > 0 {
		w.listVMs()
	}
	for i := range 3 * w.upstreams {
		w.report(i)
	}
	return w
}

func (w *explainWorld) configure() {
	w.version++
	warmup := 5 * float64(w.rng.IntN(2))
	var customers []customer.Customer
	if w.rng.IntN(3) > 0 {
		customers = []customer.Customer{{Name: "nyla", Keys: []string{secretKey}, RatePerS: 10, Burst: 5}, {Name: "fuge", Keys: []string{"other-" + secretKey}, Priority: 1}}
	}
	var services []route.Service
	for _, name := range []string{"s0", "s1", "s2"} {
		services = append(services, route.Service{Name: name, MaxConnections: 20, WarmupPerSecond: warmup, WarmupMs: 2000})
	}
	w.send(relay.TableMsg{Table: route.NewTable(route.Config{Version: w.version, Customers: customers, Services: services, Routes: []route.Route{
		{Name: "gather", Host: "h", Prefix: "/gather/", Gather: []string{"s0", "s1", "s2"}, Idempotent: true, Anonymous: true, TimeoutMs: 800, TargetMs: 120, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.9},
		{Name: "one", Host: "h", Prefix: "/one/", Service: "s1", TimeoutMs: 2000, TargetMs: 600, MaxAttempts: 2, Priority: 1},
		{Name: "read", Host: "h", Prefix: "/read/", Service: "s2", Idempotent: true, TimeoutMs: 2000, TargetMs: clock.Millis(500 + 50*w.rng.IntN(8)), MaxAttempts: 3, Priority: 2},
		{Name: "split", Host: "h", Prefix: "/split/", Split: []route.WeightedService{{Service: "s0", Weight: 2}, {Service: "s3", Weight: 1}}, TimeoutMs: 900, TargetMs: 300, MaxAttempts: 2},
	}})})
}

func (w *explainWorld) listVMs() {
	var vms []relay.VM
	for i := range 1 + w.rng.IntN(6) {
		vms = append(vms, relay.VM{ID: fmt.Sprint("v", i), Address: "x:1", DataCentre: string("abc"[i%3]), CPUMilli: 10 + 400*w.rng.IntN(2)})
	}
	w.send(relay.FleetMsg{VMs: vms})
}

func (w *explainWorld) report(i int) {
	w.sequence++
	u := relay.Upstream{
		ID: fmt.Sprint("u", i), Service: fmt.Sprint("s", i%3), Address: fmt.Sprint("10.0.0.", i, ":1"), DataCentre: string("abc"[i/3%3]), Slots: 1 + i%3,
		Sequence: w.sequence, Incarnation: 1, Leaving: w.rng.IntN(25) == 0,
	}
	if w.rng.IntN(8) == 0 {
		u.ColdMs = clock.Millis(w.rng.IntN(3000))
	}
	w.send(relay.UpstreamMsg{Upstream: u, Revision: w.sequence})
}

// send passes a message to both models and compares what they do.
func (w *explainWorld) send(msg relay.Msg) []relay.Cmd {
	got := slices.Clone(w.explained.Update(w.now, msg))
	want := w.untouched.Update(w.now, msg)
	if g, u := fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", want); g != u {
		w.t.Fatalf("%T at %d ms: got after explanations\n%s\nwant as without\n%s", msg, w.now, g, u)
	}
	for _, c := range got {
		switch c := c.(type) {
		case relay.SendCmd:
			w.attempts = append(w.attempts, c.Attempt)
		case relay.DelegateCmd:
			w.delegations = append(w.delegations, c)
		}
	}
	return got
}

// take removes and returns a random element.
func take[T any](rng *rand.Rand, list *[]T) (v T, ok bool) {
	if len(*list) == 0 {
		return v, false
	}
	i := rng.IntN(len(*list))
	v = (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return v, true
}

// step sends one random message.
func (w *explainWorld) step() {
	w.now += clock.Millis(w.rng.IntN(w.pace))
	switch k := w.rng.IntN(100); {
	case k < 40:
		w.arrive()
	case k < 45:
		w.arriveDelegated()
	case k < 62:
		if id, ok := take(w.rng, &w.attempts); ok {
			w.send(relay.ReplyMsg{Attempt: id, Reply: w.reply()})
		}
	case k < 68:
		if id, ok := take(w.rng, &w.attempts); ok {
			w.send(relay.AttemptFailedMsg{Attempt: id, NotSent: w.rng.IntN(2) == 0, Cause: "reset"})
		}
	case k < 72:
		w.report(w.rng.IntN(3 * w.upstreams))
	case k < 73:
		w.send(relay.UpstreamRemovedMsg{ID: fmt.Sprint("u", w.rng.IntN(3*w.upstreams))})
	case k < 76:
		w.send(relay.EvacuationMsg{DataCentre: string("abc"[w.rng.IntN(3)]), Active: w.rng.IntN(3) == 0})
	case k < 77:
		w.listVMs()
	case k < 79:
		w.configure()
	case k < 80:
		record := preset.GatewayDefault()
		p := record.CurrentPreset()
		p.Urgent.QueueRequests = 2 + w.rng.IntN(20)
		w.send(relay.PresetMsg{Preset: p})
	case k < 81:
		if w.rng.IntN(8) == 0 {
			w.send(relay.StopMsg{Deadline: w.now + 400, CallersUntil: w.now + 50})
		}
	case k < 84:
		w.credit()
	case k < 89:
		w.answerDelegation()
	default:
		w.now += clock.Millis(w.rng.IntN(60))
		w.send(relay.TickMsg{})
	}
}

func (w *explainWorld) reply() relay.Reply {
	switch w.rng.IntN(9) {
	case 0:
		return relay.Reply{Status: 503, NotRun: true}
	case 1:
		return relay.Reply{Status: 503, NotRun: true, RetryAfterMs: clock.Millis(20 + w.rng.IntN(2000))}
	case 2:
		return relay.Reply{Status: 500, Receipt: "x"}
	case 3:
		return relay.Reply{Status: 200, Receipt: "x", Leaving: w.rng.IntN(6) == 0}
	}
	return relay.Reply{Status: 200, Receipt: "x"}
}

func (w *explainWorld) answerDelegation() {
	d, ok := take(w.rng, &w.delegations)
	if !ok {
		return
	}
	switch w.rng.IntN(5) {
	case 0:
		w.send(relay.DelegationAckMsg{From: d.To, ID: d.Delegation.ID})
	case 1:
		w.send(relay.PeerDisconnectedMsg{VM: d.To})
	case 2:
		w.send(relay.DelegationNotSentMsg{To: d.To, ID: d.Delegation.ID})
	default:
		w.send(relay.DelegationResultMsg{From: d.To, Result: relay.DelegationResult{
			ID: d.Delegation.ID, ExpectedMs: clock.Millis(w.rng.IntN(300)), Answer: relay.Answer{Outcome: relay.Gathered, Receipts: make([]string, len(d.Delegation.Services))},
		}})
	}
}

// arrive explains a request, mostly sends it, and compares what becomes of it with the explanation.
func (w *explainWorld) arrive() {
	w.nextID++
	msg := relay.ArrivalMsg{
		ID: w.nextID, Name: fmt.Sprint("r", w.nextID), Host: "h", RemainingMs: clock.Millis([]int{0, 10, 60, 400, 2000}[w.rng.IntN(5)]),
		Path: []string{"/gather/x", "/gather/x", "/gather/x", "/one/x", "/read/x", "/split/x", "/none"}[w.rng.IntN(7)],
	}
	msg.Key = []string{"", secretKey, secretKey, "other-" + secretKey, "unknown-" + secretKey}[w.rng.IntN(5)]
	q := relay.ExplainQuery{Arrival: msg, Parts: relay.MaxParts}
	e := w.explained.Explain(w.now, q)
	if again := w.explained.Explain(w.now, q); encode(w.t, again) != encode(w.t, e) {
		w.t.Fatalf("got another explanation the second time:\n%s\n%s", encode(w.t, e), encode(w.t, again))
	}
	if text := encode(w.t, e); strings.Contains(text, secretKey) {
		w.t.Fatalf("got the key in %s", text)
	}
	w.count(e)
	if w.rng.IntN(3) == 0 {
		return // what the explanation left behind would not be hidden by the request
	}
	cmds := w.send(msg)
	if slices.ContainsFunc(cmds, func(c relay.Cmd) bool { _, ok := c.(relay.CreditCmd); return ok }) {
		if e.Limit.Customer == "" || e.Customer != e.Limit.Customer {
			w.t.Fatalf("got limit %+v for customer %q, want one", e.Limit, e.Customer)
		}
		if w.rng.IntN(2) > 0 {
			w.parked = append(w.parked, msg.ID)
			return
		}
		cmds = w.send(relay.CreditMsg{Request: msg.ID, Granted: true})
	}
	w.compare(msg.ID, e, cmds)
}

// arriveDelegated explains parts of a request that another VM delegates, and delegates them.
func (w *explainWorld) arriveDelegated() {
	w.nextID++
	services := [][]string{{"s0", "s1", "s2"}, {"s1"}, {"s2", "s9"}}[w.rng.IntN(3)] // no VM knows s9
	e := w.explained.Explain(w.now, relay.ExplainQuery{Arrival: relay.ArrivalMsg{Host: "h", Path: "/gather/x", RemainingMs: clock.Millis(16 + w.rng.IntN(500))}, Parts: relay.MaxParts, Services: services})
	if e.Route == "" {
		return // no configuration yet
	}
	w.seen["delegated "+e.Admission.Outcome+" "+e.Admission.Reason]++
	cmds := w.send(relay.ArrivalMsg{ID: w.nextID, Name: fmt.Sprint("d", w.nextID), Delegation: &relay.Delegation{
		ID: w.nextID, Version: e.Version, Services: services, RemainingMs: e.DeadlineMs, TargetInMs: e.TargetMs, LateInMs: e.TargetMs,
		Terms: relay.Terms{Route: "gather", TargetMs: 120, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.9},
	}})
	w.compare(w.nextID, e, cmds)
}

func (w *explainWorld) credit() {
	if id, ok := take(w.rng, &w.parked); ok {
		w.send(relay.CreditMsg{Request: id, Granted: w.rng.IntN(3) > 0, OverLimit: w.rng.IntN(2) == 0, RetryAfterMs: 100})
	}
}

// compare compares an explanation with the commands of the request.
func (w *explainWorld) compare(id uint64, e relay.Explanation, cmds []relay.Cmd) {
	w.t.Helper()
	var got, want []string
	for _, c := range cmds {
		switch c := c.(type) {
		case relay.SendCmd:
			if c.Request == id {
				got = append(got, "send "+c.Upstream)
			}
		case relay.DelegateCmd:
			if len(c.Delegation.Services) > 0 {
				got = append(got, fmt.Sprint("delegate ", c.To, " ", c.Delegation.Services))
			}
		case relay.AnswerCmd:
			if e.Admission.Outcome != relay.Admitted {
				got = append(got, fmt.Sprint("answer ", c.Answer.Outcome, " ", c.Answer.Reason, " ", c.Answer.RetryAfterMs))
			}
		}
	}
	if a := e.Admission; a.Outcome != relay.Admitted {
		want = append(want, fmt.Sprint("answer ", a.Outcome, " ", a.Reason, " ", a.RetryAfterMs))
	} else {
		for _, c := range e.Carriers {
			if !c.Self {
				want = append(want, fmt.Sprint("delegate ", c.VM, " ", c.Services))
			}
		}
		for _, p := range e.Parts {
			if p.Upstream != "" {
				want = append(want, "send "+p.Upstream)
			}
		}
	}
	if !slices.Equal(got, want) {
		w.t.Fatalf("at %d ms: got %v, want as explained %v\n%s", w.now, got, want, encode(w.t, e))
	}
}

// count records which results and reasons have occurred.
func (w *explainWorld) count(e relay.Explanation) {
	w.seen[e.Admission.Outcome+" "+e.Admission.Reason]++
	if e.Admission.Probe {
		w.seen["estimate probe"]++
	}
	for _, c := range e.Carriers {
		w.seen[fmt.Sprint("carrier self=", c.Self)]++
	}
	for _, p := range e.Parts {
		w.seen[p.Action]++
		if p.Probe {
			w.seen["upstream probe"]++
		}
		for _, c := range p.Candidates {
			w.seen["excluded "+c.Excluded]++
		}
	}
}

func encode(t *testing.T, e relay.Explanation) string {
	t.Helper()
	data, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestExplain guards against an explanation that names another result than that of the next
// request, in a thousand random histories, and against one that changes what happens later.
func TestExplain(t *testing.T) {
	const histories, steps = 1000, 70
	seen := make(map[string]int)
	for seed := range uint64(histories) {
		w := newExplainWorld(t, seed, seen)
		for range steps {
			w.step()
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	for _, want := range []string{
		"admitted ", "refused full", "refused no_upstream", "refused evacuated", "refused stopping", "refused queue_full", "no_route no_route",
		"unauthorized unknown_key", "not_ready no_configuration", "estimate probe", "upstream probe", "carrier self=true", "carrier self=false", "send", "queue", "give_up",
		"excluded ", "excluded leaving", "excluded evacuated", "excluded held", "excluded held_too_long", "excluded cold", "excluded full", "excluded avoided",
		"excluded unreachable", "excluded unconsidered", "delegated admitted ", "delegated refused full", "delegated not_ready stopping",
	} {
		if seen[want] == 0 {
			t.Errorf("got no case of %q", want)
		}
	}
	t.Log(slices.Sorted(maps.Keys(seen)))
}

// TestExplainCustomer guards against a customer by name that is explained otherwise than the
// one with its key.
func TestExplainCustomer(t *testing.T) {
	nyla := customer.Customer{Name: "nyla", Keys: []string{secretKey}, RatePerS: 3, Burst: 2}
	tests := []struct {
		name, key, customer, want, reason string
	}{
		{"key", secretKey, "", "nyla", ""},
		{"name", "", "nyla", "nyla", ""},
		{"unknown key", "x", "", "", "unknown_key"},
		{"no key", "", "", "", "unknown_key"},
		{"unknown name", "", "fuge", "", "unknown_customer"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newShardedModel(t, "va", "a")
			m.Update(1000, shardedTable(8, false, nyla))
			e := m.Explain(2000, relay.ExplainQuery{Arrival: relay.ArrivalMsg{Host: "h", Path: "/x", Key: tt.key}, Customer: tt.customer})
			if e.Customer != tt.want || e.Admission.Reason != tt.reason || e.Limit.Customer != tt.want {
				t.Errorf("got customer %q, reason %q and limit %+v, want %q and %q", e.Customer, e.Admission.Reason, e.Limit, tt.want, tt.reason)
			}
		})
	}
}

// TestExplainProbe guards against parts that are explained as if each could probe a slow
// upstream, which only one of a request does.
func TestExplainProbe(t *testing.T) {
	m := relay.New(relay.WithSelf("va", "a"))
	m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{Version: 1, Routes: []route.Route{{
		Name: "q", Host: "h", Prefix: "/", Gather: []string{"s1", "s2"}, Idempotent: true, TimeoutMs: 3000, TargetMs: 1200, MaxAttempts: 2, MinShardRatio: 1,
	}}})})
	for _, s := range []string{"s1", "s2"} {
		for _, dc := range []string{"a", "b"} {
			m.Update(1000, relay.UpstreamMsg{Upstream: relay.Upstream{ID: s + dc, Service: s, Address: s + dc, DataCentre: dc, Slots: 2}})
		}
	}
	now := clock.Millis(2000)
	const quick, slow = 20, 2
	for id := range uint64(quick + slow) { // those in a are quick at first, then slow
		cmds := slices.Clone(m.Update(now, arrivalWithin(id+1, 3000)))
		took := clock.Millis(2)
		if id >= quick {
			took = 900
		}
		now += took
		for _, c := range cmds {
			if s, ok := c.(relay.SendCmd); ok {
				m.Update(now, relay.ReplyMsg{Attempt: s.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}})
			}
		}
		now += 1100
		m.Update(now, relay.TickMsg{})
	}
	e := m.Explain(now, relay.ExplainQuery{Arrival: arrivalWithin(3, 3000)})
	if len(e.Parts) != 2 || !e.Parts[0].Probe || e.Parts[1].Probe {
		t.Fatalf("got %+v, want a probe by the first part alone", e.Parts)
	}
	var got []string
	for _, c := range m.Update(now, arrivalWithin(3, 3000)) {
		if s, ok := c.(relay.SendCmd); ok {
			got = append(got, s.Upstream)
		}
	}
	if want := []string{e.Parts[0].Upstream, e.Parts[1].Upstream}; !slices.Equal(got, want) {
		t.Errorf("got %v, want as explained %v", got, want)
	}
}

// TestExplainScore guards against a chosen upstream that does not have the lowest total, and
// totals that are not the sums of their parts.
func TestExplainScore(t *testing.T) {
	m := newSingleServiceModel(t, true, 5)
	for id := range uint64(3) {
		m.Update(2000, arrival(id+1))
	}
	e := m.Explain(2010, relay.ExplainQuery{Arrival: arrival(1)})
	if len(e.Parts) != 1 || len(e.Parts[0].Candidates) != 5 {
		t.Fatalf("got %+v, want a part with 5 candidates", e.Parts)
	}
	best := slices.MinFunc(e.Parts[0].Candidates, func(a, b relay.Candidate) int { return int(1e6 * (a.TotalMs - b.TotalMs)) })
	if !best.Chosen || best.Upstream != e.Parts[0].Upstream || best.TotalMs != best.Score.Total() {
		t.Errorf("got chosen %s, want %+v", e.Parts[0].Upstream, best)
	}
}

// TestExplainParts guards against an explanation whose length grows with the route, and one
// whose first parts depend on how many are described.
func TestExplainParts(t *testing.T) {
	m, vms := newTwoYearModel()
	m.Update(1000, relay.FleetMsg{VMs: vms[:1]}) // it gathers all parts
	short := m.Explain(2000, relay.ExplainQuery{Arrival: arrival(1), Parts: 1})
	long := m.Explain(2000, relay.ExplainQuery{Arrival: arrival(1), Parts: 1 << 30})
	if len(short.Parts) != 1 || short.MoreParts != len(long.Parts)-1 || len(long.Parts) > relay.MaxParts {
		t.Fatalf("got %d parts and %d more, of %d", len(short.Parts), short.MoreParts, len(long.Parts))
	}
	if short.Parts[0].Upstream != long.Parts[0].Upstream {
		t.Errorf("got %s, want %s", short.Parts[0].Upstream, long.Parts[0].Upstream)
	}
}

// BenchmarkExplain measures an explanation on a VM of the two-year size.
func BenchmarkExplain(b *testing.B) {
	m, vms := newTwoYearModel()
	for _, list := range [][]relay.VM{vms, vms[:1]} { // the second one gathers all parts
		b.Run(fmt.Sprint("vms=", len(list)), func(b *testing.B) {
			m.Update(1000, relay.FleetMsg{VMs: list})
			for b.Loop() {
				m.Explain(2000, relay.ExplainQuery{Arrival: arrival(1)})
			}
		})
	}
}
