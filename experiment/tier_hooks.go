package experiment

import (
	"fmt"
	"math/rand/v2"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/vm"
)

// TierHooks observe and change what passes between the cores of a Tier and its
// fakes. Each may be nil.
type TierHooks struct {
	BeforeUpdate func(id string, msg vm.Msg)
	AfterUpdate  func(id string, core *vm.Core)
	MapCmd       func(id string, cmd vm.Cmd) []vm.Cmd
	// DeliverReply decides when and how often a reply is delivered after the network delay.
	DeliverReply func(req attempt.Request, r attempt.Reply, deliver func(attempt.Reply))
	MapLoad      func(id upstream.ID, load upstream.Load) upstream.Load
	MapVMList    func(id string, list []fleet.VM) []fleet.VM
	LinkCut      func(from, to string) bool
}

func (h *TierHooks) beforeUpdate(id string, msg vm.Msg) {
	if h.BeforeUpdate != nil {
		h.BeforeUpdate(id, msg)
	}
}

func (h *TierHooks) afterUpdate(n *tierVM) {
	if h.AfterUpdate != nil {
		h.AfterUpdate(n.self.ID, n.core)
	}
}

func (h *TierHooks) mapCmd(id string, cmd vm.Cmd) []vm.Cmd {
	if h.MapCmd == nil {
		return []vm.Cmd{cmd}
	}
	return h.MapCmd(id, cmd)
}

func (h *TierHooks) deliverReply(loop *Loop, req attempt.Request, r attempt.Reply, deliver func(attempt.Reply)) {
	loop.After(tierHopMs, func() {
		if h.DeliverReply == nil {
			deliver(r)
			return
		}
		h.DeliverReply(req, r, deliver)
	})
}

func (h *TierHooks) mapLoad(id upstream.ID, load upstream.Load) upstream.Load {
	if h.MapLoad == nil {
		return load
	}
	return h.MapLoad(id, load)
}

func (h *TierHooks) mapVMList(id string, list []fleet.VM) []fleet.VM {
	if h.MapVMList == nil {
		return list
	}
	return h.MapVMList(id, list)
}

func (h *TierHooks) linkCut(from, to string) bool { return h.LinkCut != nil && h.LinkCut(from, to) }

// orderService describes the order service and creates its upstreams.
func (t *Tier) orderService() upstream.Service {
	svc := upstream.Service{Name: "orders"}
	for g := range t.Config.OrderGroups {
		group := upstream.Group{Name: fmt.Sprintf("d%02d", g)}
		for r := range t.Config.Replicas {
			id := upstream.ID(fmt.Sprintf("orders/%s/%d", group.Name, r))
			group.Replicas = append(group.Replicas, upstream.Upstream{
				ID: id, Service: svc.Name, Group: group.Name, ConnectionLimit: t.Config.Connections, ConnectMs: tierOpenMs,
			})
			up := NewUpstream(t.Loop, rand.New(rand.NewPCG(t.Config.Seed, uint64(5000+g*10+r))), coverage.Range{})
			up.MedianMs, up.Ranges, up.HeldVersions = t.Config.MedianMs, nil, nil
			t.Upstreams[string(id)] = up
			t.upstreamIDs = append(t.upstreamIDs, string(id))
		}
		svc.Groups = append(svc.Groups, group)
	}
	return svc
}

// Kill ends the process of a VM immediately. Its peers see their connections break.
func (t *Tier) Kill(id string) {
	n := t.byID[id]
	if n.dead {
		return
	}
	n.dead = true
	n.generation++
	for _, other := range t.vms {
		if other != n && !other.dead {
			generation := other.generation
			t.Loop.After(tierHopMs, func() {
				if other.generation == generation {
					other.update(vm.PeerDisconnectedMsg{VM: id})
				}
			})
		}
	}
}

// Replace starts a new process, without any state, for a VM whose process has ended.
func (t *Tier) Replace(id string) {
	n := t.byID[id]
	if !n.dead {
		return
	}
	n.dead, n.nextWake, n.pausedUntil = false, 0, 0
	n.generation++
	n.self.Incarnation = uint64(t.Loop.Now())
	n.core = n.newCore()
	n.update(vm.TickMsg{})
	t.pollVMList(n)
}

// Pause delays every message to a VM until d has passed.
func (t *Tier) Pause(id string, d clock.Millis) {
	n := t.byID[id]
	n.pausedUntil = max(n.pausedUntil, t.Loop.Now()+d)
}

// Stop begins the graceful stop of a VM. The process ends once it has drained, and
// done receives the time that the drain took.
func (t *Tier) Stop(id string, done func(clock.Millis)) {
	n := t.byID[id]
	generation, begin := n.generation, t.Loop.Now()
	n.update(vm.StopMsg{})
	var poll func()
	poll = func() {
		if n.generation != generation {
			return
		}
		if t.Loop.Now() < n.pausedUntil {
			t.Loop.At(n.pausedUntil+10, poll) // a paused process cannot exit
			return
		}
		if n.core.Drained(t.Loop.Now()) {
			t.Kill(id)
			done(t.Loop.Now() - begin)
			return
		}
		t.Loop.After(10, poll)
	}
	t.Loop.After(10, poll)
}
