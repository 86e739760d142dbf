package relay_test

import (
	"fmt"
	"strings"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

// shardedTable returns the table of newShardedModel in another version, with customers.
func shardedTable(version uint64, anonymous bool, customers ...customer.Customer) relay.TableMsg {
	return relay.TableMsg{Table: route.NewTable(route.Config{Version: version, Customers: customers, Routes: []route.Route{{
		Name: "q", Host: "h", Prefix: "/", Gather: []string{"s1", "s2"}, Idempotent: true, Anonymous: anonymous,
		TimeoutMs: 400, TargetMs: 50, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.5,
	}}})}
}

func arrivalWithKey(id uint64, key string) relay.ArrivalMsg {
	msg := arrival(id)
	msg.Key = key
	return msg
}

// customersOf returns the customers that sends and delegations name, and the outcome of an
// answer.
func customersOf(cmds []relay.Cmd) string {
	var out []string
	for _, c := range cmds {
		switch c := c.(type) {
		case relay.SendCmd:
			out = append(out, "send "+c.Customer)
		case relay.DelegateCmd:
			out = append(out, "delegate "+c.Delegation.Terms.Customer)
		case relay.AnswerCmd:
			out = append(out, c.Answer.Outcome.String()+" "+c.Answer.Reason)
		}
	}
	return strings.Join(out, ", ")
}

// TestIdentify guards against a request that runs without the key that it needs, for
// another customer, or that is refused although it has the key.
func TestIdentify(t *testing.T) {
	nyla, fuge := customer.Customer{Name: "nyla", Keys: []string{"k1"}}, customer.Customer{Name: "fuge", Keys: []string{"k2"}}
	const unauthorized = "unauthorized unknown_key"
	tests := []struct {
		name      string
		customers []customer.Customer
		anonymous bool
		key, want string
	}{
		{"key", []customer.Customer{nyla, fuge}, false, "k1", "send nyla, send nyla"},
		{"key of the other", []customer.Customer{nyla, fuge}, false, "k2", "send fuge, send fuge"},
		{"unknown key", []customer.Customer{nyla, fuge}, false, "k3", unauthorized},
		{"no key", []customer.Customer{nyla, fuge}, false, "", unauthorized},
		{"several keys", []customer.Customer{nyla, fuge}, false, customer.InvalidKey, unauthorized},
		{"anonymous route, no key", []customer.Customer{nyla, fuge}, true, "", "send , send "},
		{"anonymous route, key", []customer.Customer{nyla, fuge}, true, "k1", "send nyla, send nyla"},
		{"anonymous route, unknown key", []customer.Customer{nyla, fuge}, true, "k3", unauthorized},
		{"anonymous route, several keys", []customer.Customer{nyla, fuge}, true, customer.InvalidKey, unauthorized},
		{"customers without keys", []customer.Customer{{Name: "nyla"}}, false, "k1", unauthorized},
		{"no customers", nil, false, "k1", "send , send "},
		{"no customers, several keys", nil, false, customer.InvalidKey, "send , send "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newShardedModel(t, "va", "a")
			m.Update(1000, shardedTable(8, tt.anonymous, tt.customers...))
			if got := customersOf(m.Update(2000, arrivalWithKey(1, tt.key))); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestKeyBeforeConfiguration guards against a VM without a configuration that calls a key
// unknown.
func TestKeyBeforeConfiguration(t *testing.T) {
	m := relay.New(relay.WithSelf("va", "a"))
	if got, want := customersOf(m.Update(2000, arrivalWithKey(1, "k1"))), "not_ready no_configuration"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestKeyWithdrawn guards against a key that stays in force after the version without it,
// and against an older version that brings it back. Requests that were admitted before run
// on under their customer.
func TestKeyWithdrawn(t *testing.T) {
	with := customer.Customer{Name: "nyla", Keys: []string{"k1", "k2"}}
	without := customer.Customer{Name: "nyla", Keys: []string{"k2"}}
	m := newShardedModelWithBudget(t)
	m.Update(1000, shardedTable(8, false, with))
	cmds := m.Update(2000, arrivalWithKey(1, "k1"))
	cmd := cmds[len(cmds)-1].(relay.DelegateCmd)
	m.Update(2001, shardedTable(9, false, without))
	for _, stale := range []uint64{8, 9} {
		if got, want := customersOf(m.Update(2002, arrivalWithKey(stale, "k1"))), "unauthorized unknown_key"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		m.Update(2002, shardedTable(stale, false, with))
	}
	if got, want := customersOf(m.Update(2003, relay.PeerDisconnectedMsg{VM: cmd.To})), "send nyla, send nyla"; got != want {
		t.Errorf("reclaimed: got %q, want %q", got, want)
	}
}

// change is one change of the customers, with what a request with the key k1 gets before
// and after it.
type change struct {
	name          string
	before, after relay.TableMsg
	want          [2]string // customer, or "401"
}

func changes() []change {
	nyla, fuge := customer.Customer{Name: "nyla", Keys: []string{"k1"}}, customer.Customer{Name: "fuge", Keys: []string{"k2"}}
	both := customer.Customer{Name: "fuge", Keys: []string{"k1", "k2"}}
	old := func(anonymous bool, c ...customer.Customer) relay.TableMsg { return shardedTable(8, anonymous, c...) }
	next := func(anonymous bool, c ...customer.Customer) relay.TableMsg { return shardedTable(9, anonymous, c...) }
	return []change{
		{"customer added", old(false, fuge), next(false, fuge, nyla), [2]string{"401", "nyla"}},
		{"customer removed", old(false, fuge, nyla), next(false, fuge), [2]string{"nyla", "401"}},
		{"key added", old(false, fuge, customer.Customer{Name: "nyla"}), next(false, fuge, nyla), [2]string{"401", "nyla"}},
		{"key withdrawn", old(false, fuge, nyla), next(false, fuge, customer.Customer{Name: "nyla"}), [2]string{"nyla", "401"}},
		{"key moved", old(false, fuge, nyla), next(false, both, customer.Customer{Name: "nyla"}), [2]string{"nyla", "fuge"}},
		{"customer renamed", old(false, nyla), next(false, customer.Customer{Name: "lope", Keys: []string{"k1"}}), [2]string{"nyla", "lope"}},
		{"route anonymous", old(false, nyla), next(true, nyla), [2]string{"nyla", "nyla"}},
		{"route anonymous for an unknown key", old(false, fuge), next(true, fuge), [2]string{"401", "401"}},
		{"route no longer anonymous", old(true, nyla), next(false, nyla), [2]string{"nyla", "nyla"}},
		{"first customers", old(false), next(false, nyla), [2]string{"", "nyla"}},
		{"last customer removed", old(false, nyla), next(false), [2]string{"nyla", ""}},
	}
}

// TestCustomersDiffer guards against a carrier that decides about a customer by its own
// version of the configuration, older or newer than that of the VM that the caller reached.
func TestCustomersDiffer(t *testing.T) {
	for _, c := range changes() {
		tables := []relay.TableMsg{c.before, c.after}
		for entryVersion, want := range c.want {
			for carrierVersion := range tables {
				t.Run(fmt.Sprintf("%s/entry %d carrier %d", c.name, entryVersion, carrierVersion), func(t *testing.T) {
					entry := newShardedModelWithBudget(t)
					entry.Update(1000, tables[entryVersion])
					cmds := entry.Update(2000, arrivalWithKey(1, "k1"))
					if want == "401" {
						if got := customersOf(cmds); got != "unauthorized unknown_key" {
							t.Errorf("got %q, want unauthorized", got)
						}
						return
					}
					d := cmds[len(cmds)-1].(relay.DelegateCmd).Delegation
					carrier := newShardedModel(t, "va", "a")
					carrier.Update(1000, tables[carrierVersion])
					got := customersOf(carrier.Update(2001, relay.ArrivalMsg{ID: 9, Name: d.Name, Delegation: &d}))
					if want := "send " + want + ", send " + want; got != want {
						t.Errorf("got %q, want %q", got, want)
					}
				})
			}
		}
	}
}

// TestCustomerOnEveryAttempt guards against a retry or a hedge that does not name the
// customer, also after the version has changed.
func TestCustomerOnEveryAttempt(t *testing.T) {
	m := newShardedModel(t, "va", "a")
	m.Update(1000, relay.BudgetMsg{Ratio: 0.2, Extra: 58, WindowMs: 10 * clock.Second})
	m.Update(1000, shardedTable(8, false, customer.Customer{Name: "nyla", Keys: []string{"k1"}}))
	first := firstSend(t, m.Update(2000, arrivalWithKey(1, "k1")))
	m.Update(2001, shardedTable(9, false, customer.Customer{Name: "fuge", Keys: []string{"k1"}}))
	retry := firstSend(t, m.Update(2005, relay.AttemptFailedMsg{Attempt: first.Attempt}))
	hedge := firstSend(t, tickTo(m, 2005, 2048))
	if retry.Customer != "nyla" || hedge.Customer != "nyla" || hedge.Attempt == retry.Attempt {
		t.Errorf("got customers %q for the retry and %q for the hedge, want nyla", retry.Customer, hedge.Customer)
	}
}

// TestCustomerPriority guards against a queue that does not serve the customer with the
// higher priority first, whatever the order of arrival and the route.
func TestCustomerPriority(t *testing.T) {
	routes := []route.Route{
		{Name: "urgent", Host: "h", Prefix: "/urgent/", Priority: 0},
		{Name: "patient", Host: "h", Prefix: "/patient/", Priority: 2},
		{Name: "open", Host: "h", Prefix: "/open/", Priority: 1, Anonymous: true},
	}
	for i := range routes {
		r := &routes[i]
		r.Service, r.TimeoutMs, r.TargetMs, r.MaxAttempts = "s", 4000, 1200, 1
	}
	m := newSingleServiceModel(t, false, 1)
	m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{
		Version: 6, Services: []route.Service{{Name: "s", MaxConnections: 110}}, Routes: routes,
		Customers: []customer.Customer{{Name: "first", Keys: []string{"k0"}, Priority: 0}, {Name: "second", Keys: []string{"k1"}, Priority: 1}, {Name: "last", Keys: []string{"k3"}, Priority: 3}},
	})})
	var open []uint64
	sends := func(cmds []relay.Cmd) (out []string) {
		for _, c := range cmds {
			if s, ok := c.(relay.SendCmd); ok {
				open = append(open, s.Attempt)
				out = append(out, fmt.Sprintf("%d %s", s.Request, s.Customer))
			}
		}
		return out
	}
	arrive := func(id uint64, path, key string) []string {
		return sends(m.Update(2000, relay.ArrivalMsg{ID: id, Name: fmt.Sprint("r", id), Host: "h", Path: path, Key: key, RemainingMs: 4000}))
	}
	id := uint64(100)
	for ; len(arrive(id, "/patient/x", "k0")) > 0; id++ { // until the upstream has no free place
	}
	m.Update(2000, relay.CallerDisconnectedMsg{ID: id})
	arrive(1, "/urgent/x", "k3")
	arrive(2, "/patient/x", "k1")
	arrive(3, "/open/x", "")
	arrive(4, "/urgent/x", "k1")
	arrive(5, "/patient/x", "k0")
	arrive(6, "/urgent/x", "k0")
	var got []string
	for len(open) > 0 {
		a := open[0]
		open = open[1:]
		got = append(got, sends(m.Update(2010, relay.ReplyMsg{Attempt: a, Reply: relay.Reply{Status: 200, Receipt: "x"}}))...)
	}
	want := "[6 first 5 first 4 second 3  2 second 1 last]"
	if fmt.Sprint(got) != want {
		t.Errorf("got %v, want %s", got, want)
	}
}

// TestKeyNotInCommands guards against a key in anything that the model puts out: events,
// answers, delegations.
func TestKeyNotInCommands(t *testing.T) {
	const secret = "k-secret"
	m := newShardedModelWithBudget(t)
	m.Update(1000, shardedTable(8, false, customer.Customer{Name: "nyla", Keys: []string{secret}}))
	var all []relay.Cmd
	for i, key := range []string{secret, secret + "-unknown"} {
		all = append(all, m.Update(clock.Millis(2000+i), arrivalWithKey(uint64(i+1), key))...)
	}
	all = append(all, tickTo(m, 2002, 2500)...)
	if text := fmt.Sprintf("%+v", all); strings.Contains(text, secret) {
		t.Errorf("got the key in %s", text)
	}
	for _, v := range []any{m, shardedTable(9, false, customer.Customer{Name: "nyla", Keys: []string{secret}}).Table} {
		if strings.Contains(fmt.Sprintf("%+v", v), secret) {
			t.Errorf("%T: got the key in its text", v)
		}
	}
}

// TestEstimateOfOtherPriority guards against a customer whose requests are refused because
// a carrier's queue is long for customers of a lower priority.
func TestEstimateOfOtherPriority(t *testing.T) {
	m := newShardedModelWithBudget(t)
	m.Update(1000, shardedTable(8, false, customer.Customer{Name: "first", Keys: []string{"k0"}}, customer.Customer{Name: "last", Keys: []string{"k3"}, Priority: 3}))
	for i, key := range []string{"k3", "k3"} { // each of the two carriers once
		cmds := m.Update(2000, arrivalWithKey(uint64(i+1), key))
		cmd := cmds[len(cmds)-1].(relay.DelegateCmd)
		m.Update(2010, relay.DelegationResultMsg{From: cmd.To, Result: relay.DelegationResult{ID: cmd.Delegation.ID, ExpectedMs: 5000, Answer: relay.Answer{Outcome: relay.Refused, Reason: "full"}}})
	}
	if got, want := customersOf(m.Update(2020, arrivalWithKey(3, "k3"))), "refused full"; got != want {
		t.Errorf("same priority: got %q, want %q", got, want)
	}
	if got, want := customersOf(m.Update(2020, arrivalWithKey(4, "k0"))), "delegate first"; got != want {
		t.Errorf("higher priority: got %q, want %q", got, want)
	}
}
