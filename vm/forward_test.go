package vm_test

import (
	"fmt"
	"slices"
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/vm"
)

// cluster runs three cores over one store. It captures forwards instead of
// delivering them.
type cluster struct {
	now      clock.Millis
	cores    map[string]*vm.Core
	entries  map[string]store.Entry
	forwards []vm.SendPeerCmd
	answers  []vm.OrderAnswer
}

// newCluster returns three members; "a" is a carrier of none of the upstreams.
func newCluster() *cluster {
	c := &cluster{now: 1_700_000_000_000, cores: make(map[string]*vm.Core), entries: make(map[string]store.Entry)}
	group := upstream.Group{Name: "g"}
	for i := 0; len(group.Replicas) < 2; i++ {
		id := fmt.Sprintf("desk/g/%d", i)
		table := vm.NewCarrierTable([]string{id})
		table.SetMembers([]string{"a", "b", "c"})
		if !table.IsCarrier(id, "a") {
			group.Replicas = append(group.Replicas, upstream.Upstream{ID: upstream.ID(id), Service: "desk", Group: "g", ConnectionLimit: 10})
		}
	}
	var all []fleet.VM
	for _, id := range []string{"a", "b", "c"} {
		all = append(all, fleet.VM{ID: id, Address: id, Incarnation: 1})
	}
	for _, v := range all {
		c.cores[v.ID] = vm.New(vm.WithSelf(v), vm.WithSeedVMs(all...), vm.WithServices(upstream.Service{Name: "desk", Groups: []upstream.Group{group}}))
	}
	c.run(10 * clock.Second)
	return c
}

func (c *cluster) run(d clock.Millis) {
	for end := c.now + d; c.now < end; c.now += 20 {
		for _, id := range []string{"a", "b", "c"} {
			c.deliver(id, vm.TickMsg{})
		}
	}
}

func (c *cluster) deliver(id string, msg vm.Msg) {
	for _, cmd := range slices.Clone(c.cores[id].Update(c.now, msg)) {
		switch cmd := cmd.(type) {
		case vm.StoreCmd:
			c.deliver(id, vm.StoreMsg{Reply: c.callStore(cmd.Request)})
		case vm.AnswerOrderCmd:
			c.answers = append(c.answers, cmd.Answer)
		case vm.SendPeerCmd:
			if _, ok := cmd.Body.(vm.Forward); ok {
				c.forwards = append(c.forwards, cmd)
				continue
			}
			c.deliver(cmd.To, vm.PeerMsg{From: id, Timestamp: cmd.Timestamp, Body: cmd.Body})
		}
	}
}

func (c *cluster) callStore(r store.Request) store.Reply {
	reply := store.Reply{Requester: r.Requester, Tag: r.Tag, Op: r.Op}
	e := c.entries[r.Key]
	switch {
	case r.Op == store.OpWatch:
		reply.Kind = store.KindUnavailable
	case r.Op == store.OpSwap && e.Revision != r.Revision:
		reply.Kind = store.KindConflict
	case r.Op == store.OpSwap:
		e = store.Entry{Key: r.Key, Value: r.Value, Revision: e.Revision + 1}
		c.entries[r.Key] = e
	}
	reply.Entry = e
	return reply
}

// TestForwardedOrder guards against an order that is sent to two upstreams
// because a duplicate or late report about one carrier is attributed to the
// other.
func TestForwardedOrder(t *testing.T) {
	type event func(first, last vm.SendPeerCmd) vm.Msg
	result := func(s attempt.Status, of func(first, last vm.SendPeerCmd) vm.SendPeerCmd) event {
		return func(first, last vm.SendPeerCmd) vm.Msg {
			f := of(first, last)
			req := f.Body.(vm.Forward).Request
			return vm.PeerMsg{From: f.To, Body: vm.Result{Reply: attempt.Reply{ID: req.ID, Upstream: req.Upstream, Status: s, Execution: attempt.NotExecuted}}}
		}
	}
	first := func(first, _ vm.SendPeerCmd) vm.SendPeerCmd { return first }
	last := func(_, last vm.SendPeerCmd) vm.SendPeerCmd { return last }
	unsent := func(first, _ vm.SendPeerCmd) vm.Msg { return vm.PeerUnsentMsg{To: first.To, Body: first.Body} }
	down := func(first, _ vm.SendPeerCmd) vm.Msg { return vm.PeerDisconnectedMsg{VM: first.To} }
	tests := []struct {
		name     string
		events   []event
		forwards int
		attempts int
		outcome  order.Outcome // empty if the order is still open
	}{
		{"duplicate not_carrier reply", []event{result(attempt.NotCarrier, first), result(attempt.NotCarrier, first)}, 2, 1, ""},
		{"shed by a former carrier", []event{result(attempt.NotCarrier, first), result(attempt.Shed, first)}, 2, 1, ""},
		{"duplicate unsent report", []event{unsent, unsent}, 2, 1, ""},
		{"unsent after not_carrier reply", []event{result(attempt.NotCarrier, first), unsent}, 2, 1, ""},
		{"shed after the connection broke", []event{down, result(attempt.Shed, first)}, 1, 1, order.OutcomeUnknown},
		{"not_carrier reply after the connection broke", []event{down, result(attempt.NotCarrier, first)}, 1, 1, order.OutcomeUnknown},
		{"first carrier down after rerouting", []event{result(attempt.NotCarrier, first), down}, 2, 1, ""},
		{"shed proves not run", []event{result(attempt.Shed, first)}, 2, 2, ""},
		{"no carrier left", []event{result(attempt.NotCarrier, first), result(attempt.NotCarrier, last)}, 3, 2, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster()
			c.deliver("a", vm.OrderMsg{CallID: 1, ID: fmt.Sprintf("%d-x", c.now), Rank: rank.Ordinary, Service: "desk", Group: "g"})
			c.run(200)
			if len(c.forwards) != 1 {
				t.Fatalf("got %d forwards of a new order and answers %v, want 1 forward", len(c.forwards), c.answers)
			}
			for _, e := range tt.events {
				c.deliver("a", e(c.forwards[0], c.forwards[len(c.forwards)-1]))
			}
			ids := make(map[attempt.ID]bool)
			for _, f := range c.forwards {
				ids[f.Body.(vm.Forward).Request.ID] = true
			}
			if len(c.forwards) != tt.forwards || len(ids) != tt.attempts {
				t.Errorf("got %d forwards of %d attempts, want %d of %d", len(c.forwards), len(ids), tt.forwards, tt.attempts)
			}
			var got order.Outcome
			if len(c.answers) > 0 {
				got = c.answers[0].Outcome
			}
			if got != tt.outcome {
				t.Errorf("got outcome %q, want %q", got, tt.outcome)
			}
		})
	}
}
