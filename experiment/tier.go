package experiment

import (
	"fmt"
	"math/rand/v2"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/vm"
)

// Parameters of the fakes around a Tier.
const (
	tierStart    clock.Millis = 1_700_000_000_000
	tierHopMs    clock.Millis = 1 // one-way delay between VMs, and between a VM and an upstream
	tierOpenMs   clock.Millis = 6 // time to open a connection to an upstream
	tierWarmUpMs clock.Millis = 5 * clock.Second
	keysPerGroup uint32       = 100
)

// TierConfig describes a fleet of complete cores with its upstreams.
type TierConfig struct {
	Seed               uint64
	VMs                int
	Groups             int
	Replicas           int
	Connections        int // limit per upstream
	MedianMs           float64
	Routing            vm.Routing
	Record             preset.Record // presets, and the one in force at the start
	NoAdmissionControl bool          // admit every query immediately; used by baselines
	NoStallDetection   bool          // detect unresponsive carriers only by membership; used by baselines
	OrderGroups        int           // number of groups of the order service, 0 for no order service
	Hooks              TierHooks
}

// DefaultTier returns the search service at today's sizes, with fewer connections
// so that a flood of five times its capacity runs in seconds.
func DefaultTier(seed uint64) TierConfig {
	return TierConfig{
		Seed: seed, VMs: 9, Groups: 20, Replicas: 2, Connections: 20, MedianMs: 40, Record: preset.Default(),
	}
}

// Tier runs one vm.Core per VM in virtual time with fake upstreams, network,
// store and VM list.
type Tier struct {
	Loop      *Loop
	Config    TierConfig
	Upstreams map[string]*Upstream
	Store     *TierStore

	vms         []*tierVM
	byID        map[string]*tierVM
	upstreamIDs []string // in order of creation
	rng         *rand.Rand
	lastCallID  uint64
	pending     map[uint64]func(vm.Cmd) // callers without an answer, by call id
}

// tierVM is one VM of a Tier.
type tierVM struct {
	tier        *Tier
	self        fleet.VM
	core        *vm.Core
	nextWake    clock.Millis
	generation  int // incremented when a process ends or starts, so that callbacks of earlier processes are ignored
	dead        bool
	pausedUntil clock.Millis
	delayedMsgs int // number of messages that arrived during pauses

	seed     uint64
	services []upstream.Service
}

// NewTier starts the cores and runs them until they are ready and warmed up.
func NewTier(cfg TierConfig) *Tier {
	loop := NewLoop(tierStart)
	t := &Tier{
		Loop: loop, Config: cfg, Upstreams: make(map[string]*Upstream), byID: make(map[string]*tierVM),
		rng: rand.New(rand.NewPCG(cfg.Seed, 77)), pending: make(map[uint64]func(vm.Cmd)),
	}
	t.Store = newTierStore(loop, rand.New(rand.NewPCG(cfg.Seed, 78)))
	services := t.services()
	for i := range cfg.VMs {
		t.startVM(i, services)
	}
	loop.RunUntil(loop.Now() + tierWarmUpMs)
	return t
}

func (t *Tier) services() []upstream.Service {
	svc := upstream.Service{Name: "search", Keys: uint32(t.Config.Groups) * keysPerGroup}
	for g := range t.Config.Groups {
		name := fmt.Sprintf("g%02d", g)
		keys := coverage.Range{From: uint32(g) * keysPerGroup, To: uint32(g+1) * keysPerGroup}
		group := upstream.Group{Name: name, Range: keys}
		for r := range t.Config.Replicas {
			id := upstream.ID(fmt.Sprintf("search/%s/%d", name, r))
			group.Replicas = append(group.Replicas, upstream.Upstream{
				ID: id, Service: "search", Group: name, ConnectionLimit: t.Config.Connections, ConnectMs: tierOpenMs,
			})
			up := NewUpstream(t.Loop, rand.New(rand.NewPCG(t.Config.Seed, uint64(1000+g*10+r))), keys)
			up.MedianMs = t.Config.MedianMs
			t.Upstreams[string(id)] = up
			t.upstreamIDs = append(t.upstreamIDs, string(id))
		}
		svc.Groups = append(svc.Groups, group)
	}
	list := []upstream.Service{svc}
	if t.Config.OrderGroups > 0 {
		list = append(list, t.orderService())
	}
	return list
}

func (t *Tier) startVM(i int, services []upstream.Service) {
	self := fleet.VM{
		ID: fmt.Sprintf("vm-%d", i+1), Address: fmt.Sprintf("10.0.0.%d:1", i+1),
		DataCentre: fmt.Sprintf("dc-%d", i%3+1), Incarnation: uint64(t.Loop.Now()) + uint64(i),
	}
	n := &tierVM{tier: t, self: self, seed: t.Config.Seed + uint64(i), services: services}
	n.core = n.newCore()
	t.vms = append(t.vms, n)
	t.byID[self.ID] = n
	t.Loop.After(clock.Millis(i), func() { n.update(vm.TickMsg{}) })
	t.pollVMList(n)
}

func (n *tierVM) newCore() *vm.Core {
	t := n.tier
	opts := []vm.Option{
		vm.WithSelf(n.self), vm.WithSeed(n.seed), vm.WithServices(n.services...),
		vm.WithInitialRecord(t.Config.Record), vm.WithRouting(t.Config.Routing), vm.WithFleetSize(t.Config.VMs),
		vm.WithRingEvents(1024),
	}
	if t.Config.NoAdmissionControl {
		opts = append(opts, vm.WithoutAdmissionControl())
	}
	if t.Config.NoStallDetection {
		opts = append(opts, vm.WithStallTimeout(0))
	}
	return vm.New(opts...)
}

// pollVMList delivers the VM list to a VM every second, as its runtime does.
func (t *Tier) pollVMList(n *tierVM) {
	generation := n.generation
	t.Loop.After(clock.Second, func() {
		if n.dead || n.generation != generation {
			return
		}
		var list []fleet.VM
		for _, other := range t.vms {
			if !other.dead {
				v := other.self
				v.Incarnation = 0 // the platform's list has no process incarnations
				list = append(list, v)
			}
		}
		n.update(vm.ListedVMsMsg{VMs: t.Config.Hooks.mapVMList(n.self.ID, list)})
		t.pollVMList(n)
	})
}

// update passes one message to the core and performs the returned commands.
func (n *tierVM) update(msg vm.Msg) {
	if n.dead {
		return
	}
	now := n.tier.Loop.Now()
	if now < n.pausedUntil {
		n.delayedMsgs++
		generation := n.generation
		n.tier.Loop.At(n.pausedUntil, func() {
			if n.generation == generation {
				n.update(msg)
			}
		})
		return
	}
	hooks := &n.tier.Config.Hooks
	hooks.beforeUpdate(n.self.ID, msg)
	for _, cmd := range n.core.Update(now, msg) {
		for _, c := range hooks.mapCmd(n.self.ID, cmd) {
			n.perform(c)
		}
	}
	hooks.afterUpdate(n)
	n.scheduleWake()
}

// scheduleWake schedules a tick at the core's next wake time.
func (n *tierVM) scheduleWake() {
	at, ok := n.core.NextWake()
	if !ok {
		return
	}
	at = max(at, n.tier.Loop.Now()+1)
	if n.nextWake > n.tier.Loop.Now() && n.nextWake <= at {
		return
	}
	n.nextWake = at
	generation := n.generation
	n.tier.Loop.At(at, func() {
		if n.generation == generation && n.nextWake == at {
			n.nextWake = 0
			n.update(vm.TickMsg{})
		}
	})
}

func (n *tierVM) perform(cmd vm.Cmd) {
	t := n.tier
	switch m := cmd.(type) {
	case vm.AnswerQueryCmd:
		t.answer(m.CallID, m)
	case vm.AnswerOrderCmd:
		t.answer(m.CallID, m)
	case vm.DispatchCmd:
		n.dispatch(m)
	case vm.AbortCmd:
		n.abort(m)
	case vm.PollLoadCmd:
		n.pollLoad(m.Upstream)
	case vm.StoreCmd:
		n.callStore(m)
	case vm.SendPeerCmd:
		n.sendPeer(m)
	}
}

func (t *Tier) answer(call uint64, cmd vm.Cmd) {
	if done := t.pending[call]; done != nil {
		delete(t.pending, call)
		done(cmd)
	}
}

func (n *tierVM) dispatch(m vm.DispatchCmd) {
	t, generation := n.tier, n.generation
	delay := tierHopMs
	if m.NewConn {
		delay += tierOpenMs
	}
	t.Loop.After(delay, func() {
		t.Upstreams[m.Request.Upstream].Serve(m.Request, func(r attempt.Reply) {
			t.Config.Hooks.deliverReply(t.Loop, m.Request, r, func(r attempt.Reply) {
				if n.generation == generation {
					n.update(vm.ReplyMsg{Reply: r})
				}
			})
		})
	})
}

// abort frees the connection. The fake upstream still finishes the work, like a
// real one that notices the cancellation late.
func (n *tierVM) abort(m vm.AbortCmd) {
	generation := n.generation
	n.tier.Loop.After(2*tierHopMs, func() {
		if n.generation == generation {
			n.update(vm.AbortedMsg{ID: m.ID})
		}
	})
}

func (n *tierVM) pollLoad(id upstream.ID) {
	t, generation := n.tier, n.generation
	t.Loop.After(2*tierHopMs, func() {
		if n.generation != generation {
			return
		}
		up := t.Upstreams[string(id)]
		load := upstream.Load{Healthy: true, Leaving: up.Leaving, HeldVersions: up.HeldVersions}
		n.update(vm.LoadMsg{Upstream: id, OK: !up.Dead, Load: t.Config.Hooks.mapLoad(id, load)})
	})
}

func (n *tierVM) callStore(m vm.StoreCmd) {
	generation := n.generation
	n.tier.Store.Call(m.Request, func(r store.Reply) {
		if n.generation == generation {
			n.update(vm.StoreMsg{Reply: r})
		}
	})
}

func (n *tierVM) sendPeer(m vm.SendPeerCmd) {
	t, generation := n.tier, n.generation
	to := t.byID[m.To]
	if to == nil || to.dead {
		t.Loop.After(tierHopMs, func() {
			if n.generation == generation {
				n.update(vm.PeerUnsentMsg{To: m.To, Body: m.Body})
			}
		})
		return
	}
	from, toGeneration := n.self.ID, to.generation
	if t.Config.Hooks.linkCut(from, m.To) {
		return
	}
	t.Loop.After(tierHopMs, func() {
		if to.generation == toGeneration {
			to.update(vm.PeerMsg{From: from, Timestamp: m.Timestamp, Body: m.Body})
		}
	})
}
