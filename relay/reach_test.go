package relay_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

// newPartedModel returns the model of VM va in data centre a. Its route has eight shards,
// each with one upstream in each of the data centres given. The data centres b, c and d have three
// VMs each, of which one query takes two.
func newPartedModel(dataCentres ...string) *relay.Model {
	return newPartedModelOf("va", "a", dataCentres...)
}

func newPartedModelOf(self, selfDataCentre string, dataCentres ...string) *relay.Model {
	m := relay.New(relay.WithSelf(self, selfDataCentre), relay.WithBudget(productionBudget))
	r := route.Route{Name: "q", Host: "h", Prefix: "/", Idempotent: true, TimeoutMs: 400, TargetMs: 50, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.5}
	for i := range 8 {
		r.Gather = append(r.Gather, fmt.Sprint("s", i))
	}
	m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{Version: 7, Routes: []route.Route{r}})})
	for _, s := range r.Gather {
		for _, dc := range dataCentres {
			m.Update(1000, relay.UpstreamMsg{Upstream: relay.Upstream{ID: s + dc, Service: s, Address: dc, DataCentre: dc, Slots: 2}})
		}
	}
	vms := []relay.VM{{ID: "va", Address: "va", DataCentre: "a", CPUMilli: 50}}
	for _, dc := range []string{"b", "c", "d"} {
		for i := range 3 {
			id := fmt.Sprint("v", dc, i)
			vms = append(vms, relay.VM{ID: id, Address: id, DataCentre: dc, CPUMilli: 50})
		}
	}
	m.Update(1000, relay.FleetMsg{VMs: vms})
	return m
}

// delegatedTo returns the data centres to which commands delegate shards, without repeats.
func delegatedTo(cmds []relay.Cmd) string {
	var out []string
	for _, c := range cmds {
		if c, ok := c.(relay.DelegateCmd); ok && len(c.Delegation.Services) > 0 {
			out = append(out, c.To[1:2])
		}
	}
	slices.Sort(out)
	return strings.Join(slices.Compact(out), " ")
}

// sentTo returns the data centres to whose upstreams commands send, without repeats.
func sentTo(cmds []relay.Cmd) string {
	var out []string
	for _, c := range cmds {
		if c, ok := c.(relay.SendCmd); ok {
			out = append(out, c.Upstream[len(c.Upstream)-1:])
		}
	}
	slices.Sort(out)
	return strings.Join(slices.Compact(out), " ")
}

// delegateTo lets queries pass until one goes to a data centre, and returns its
// commands. The others are answered by their carriers.
func delegateTo(t *testing.T, m *relay.Model, now clock.Millis, dataCentre string) []relay.Cmd {
	t.Helper()
	for id := range uint64(4) {
		cmds := slices.Clone(m.Update(now, arrival(uint64(now)+id)))
		if delegatedTo(cmds) == dataCentre {
			return cmds
		}
		for _, c := range cmds {
			if c, ok := c.(relay.DelegateCmd); ok {
				m.Update(now, relay.DelegationAckMsg{From: c.To, ID: c.Delegation.ID})
				m.Update(now, relay.CallerDisconnectedMsg{ID: c.Request})
			}
		}
	}
	t.Fatalf("got no delegation to %s in 4 queries", dataCentre)
	return nil
}

// TestPartedDataCentre guards against queries that go to a data centre which this VM does not
// reach, although another one has the shards, or reaches it.
func TestPartedDataCentre(t *testing.T) {
	tests := []struct {
		name        string
		dataCentres []string // with upstreams
		want        string   // where later queries go
	}{
		{"another has the shards", []string{"b", "c"}, "c"},
		{"no other has the shards", []string{"b"}, "c d"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newPartedModel(tt.dataCentres...)
			delegateTo(t, m, 2000, "b")
			lost := tickTo(m, 2000, 2020)
			if got := sentTo(lost); slices.Contains(tt.dataCentres, "c") && got != "c" {
				t.Errorf("reclaimed: got attempts to %s, want c", got)
			}
			var later []relay.Cmd
			for id := range uint64(6) {
				later = append(later, m.Update(2100+clock.Millis(id), arrival(id+10))...)
			}
			if got := delegatedTo(later); got != tt.want {
				t.Errorf("later queries: got %s, want %s", got, tt.want)
			}
		})
	}
}

// TestPartedDataCentreBack guards against a data centre that is avoided after it is reachable
// again, and against one that is tried with queries while probes have no answer.
func TestPartedDataCentreBack(t *testing.T) {
	m := newPartedModel("b", "c")
	delegateTo(t, m, 2000, "b")
	tickTo(m, 2000, 2020)
	var probe relay.DelegateCmd
	for now := clock.Millis(2100); now < 9000; now += 100 {
		cmds := slices.Clone(m.Update(now, arrival(uint64(now))))
		if got := delegatedTo(cmds); got != "c" {
			t.Fatalf("at %d: got queries to %s, want c", now, got)
		}
		for _, c := range cmds {
			c, ok := c.(relay.DelegateCmd)
			switch {
			case !ok:
			case len(c.Delegation.Services) > 0:
				m.Update(now, relay.DelegationAckMsg{From: c.To, ID: c.Delegation.ID})
				m.Update(now, relay.CallerDisconnectedMsg{ID: c.Request})
			case c.To[1] == 'b':
				probe = c
			}
		}
	}
	m.Update(9001, relay.DelegationAckMsg{From: probe.To, ID: probe.Delegation.ID})
	delegateTo(t, m, 9002, "b")
}

// TestSilentVM guards against a whole data centre that is avoided because of one lost VM.
func TestSilentVM(t *testing.T) {
	m := newPartedModel("b", "c")
	acked := false
	for _, c := range delegateTo(t, m, 2000, "b") {
		if c, ok := c.(relay.DelegateCmd); ok && !acked {
			acked = true
			m.Update(2002, relay.DelegationAckMsg{From: c.To, ID: c.Delegation.ID})
		}
	}
	tickTo(m, 2002, 2020)
	delegateTo(t, m, 2100, "b")
}

// TestSilentUpstreams guards against hedges into a data centre whose upstreams do not answer,
// and against requests that are not sent at all because of it.
func TestSilentUpstreams(t *testing.T) {
	m := newPlainModel("a")
	for i := range 4 {
		u := plainUpstream("b", 1)
		u.ID = fmt.Sprint("s", i, "b")
		m.Update(1000, relay.UpstreamMsg{Upstream: u})
	}
	m.Update(1000, relay.UpstreamRemovedMsg{ID: "sa"})
	for id := range uint64(3) { // three requests, each at another upstream
		m.Update(2000+clock.Millis(id), arrival(id+1))
	}
	var events []string
	for _, c := range tickTo(m, 2003, 2300) {
		if c, ok := c.(relay.EventCmd); ok && c.Event.Kind == "data_centre_unreachable" {
			events = append(events, c.Event.Detail)
		}
	}
	if len(events) == 0 || events[0] != "b" {
		t.Fatalf("got %v unreachable, want b", events)
	}
	if got := sentTo(m.Update(2301, arrival(10))); got != "b" {
		t.Errorf("the only data centre: got attempts to %q, want b", got)
	}
	m.Update(2302, relay.UpstreamMsg{Upstream: plainUpstream("a", 1)})
	m.Update(2302, relay.UpstreamMsg{Upstream: plainUpstream("c", 1)})
	if got := sentTo(m.Update(2303, arrival(11))); got != "a" {
		t.Errorf("first attempt: got %q, want a", got)
	}
	if got := sentTo(tickTo(m, 2303, 2400)); got != "a c" {
		t.Errorf("hedges of both requests: got %q, want a and c", got)
	}
}

// TestReclaimedUpstreams guards against a shard that reaches more upstreams than its route
// allows: the carrier that is lost may have sent it to its first and to its second one.
func TestReclaimedUpstreams(t *testing.T) {
	m := newPartedModel("b", "c", "d")
	cmds := delegateTo(t, m, 2000, "b")
	reclaimed := make(map[string]string) // by shard: the upstream
	for _, c := range tickTo(m, 2000, 2020) {
		if c, ok := c.(relay.SendCmd); ok {
			reclaimed[c.Upstream[:2]] = c.Upstream
		}
	}
	if len(reclaimed) != 8 {
		t.Fatalf("got %d shards sent again, want 8", len(reclaimed))
	}
	for _, c := range cmds {
		c, ok := c.(relay.DelegateCmd)
		if !ok {
			continue
		}
		carrier := newPartedModelOf(c.To, "b", "b", "c", "d")
		for _, first := range slices.Clone(carrier.Update(2001, relay.ArrivalMsg{ID: 1, Name: c.Delegation.Name, Delegation: &c.Delegation})) {
			first, ok := first.(relay.SendCmd)
			if !ok {
				continue
			}
			second := firstSend(t, carrier.Update(2002, relay.AttemptFailedMsg{Attempt: first.Attempt, Cause: "broken"}))
			if got := reclaimed[first.Upstream[:2]]; got != first.Upstream && got != second.Upstream {
				t.Errorf("%s: got %s, want %s or %s, where the carrier may have run it", first.Upstream[:2], got, first.Upstream, second.Upstream)
			}
		}
	}
}
