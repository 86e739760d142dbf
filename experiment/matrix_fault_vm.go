package experiment

import (
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/vm"
)

// leaseLapseMs exceeds every timeout of a VM; the longest is that of a store call.
const leaseLapseMs = 12 * clock.Second

func flooding(r rank.Rank) func(*cell, *faultInjection, observation) func() {
	return func(c *cell, s *faultInjection, _ observation) func() {
		c.load.stream(cellFloodRate, c.tier.Loop.Now()+faultMs/2, func() {
			s.effects++
			c.load.query(r)
		})
		return nil
	}
}

func storeDown(c *cell, s *faultInjection, _ observation) func() {
	store := c.tier.Store
	store.Down = true
	before := store.Failed
	s.countEffects = func() int { return store.Failed - before }
	return func() { store.Down = false }
}

func storeSlow(c *cell, s *faultInjection, _ observation) func() {
	store := c.tier.Store
	store.ExtraDelayMs = 700
	before := store.Reads + store.Writes
	s.countEffects = func() int { return store.Reads + store.Writes - before }
	return func() { store.ExtraDelayMs = 0 }
}

// storeReplyLost loses replies to writes. At least one reply is lost, even if the
// first write happens after the fault has ended.
func storeReplyLost(c *cell, s *faultInjection, _ observation) func() {
	healed := false
	c.faults.loseReply.add(func() bool {
		lost := s.effects == 0 || !healed && c.rng.IntN(2) == 0
		if lost {
			s.effects++
		}
		return lost
	})
	return func() { healed = true }
}

// leaseLapsed pauses a claim owner or a store watcher for longer than every timeout.
func leaseLapsed(c *cell, s *faultInjection, m observation) func() {
	if _, to, ok := sentClaim(m); ok && !c.tier.byID[to].dead {
		s.vm = to
	}
	if !s.step.orders {
		if watchers := c.tier.byID[s.vm].core.Status(c.tier.Loop.Now()).Watchers; len(watchers) > 0 {
			s.vm = watchers[c.rng.IntN(len(watchers))]
		}
	}
	c.pause(s, leaseLapseMs)
	return nil
}

func vmPaused(c *cell, s *faultInjection, _ observation) func() {
	c.pause(s, 2*clock.Second)
	return nil
}

func (c *cell) pause(s *faultInjection, d clock.Millis) {
	c.delayedVMs[s.vm] = true
	n := c.tier.byID[s.vm]
	before := n.delayedMsgs
	s.countEffects = func() int { return n.delayedMsgs - before }
	c.tier.Pause(s.vm, d)
	c.load.extendDeadlines(s.vm, c.tier.Loop.Now()+d)
	c.tracef("%s paused for %d ms", s.vm, d)
}

func vmKilled(c *cell, s *faultInjection, _ observation) func() {
	c.delayedVMs[s.vm] = true
	c.kill(s.vm)
	s.countReplacement(c)
	return nil
}

func vmStopped(c *cell, s *faultInjection, _ observation) func() {
	c.stop(s.vm)
	s.countReplacement(c)
	return nil
}

// countReplacement counts as an effect that a new process of the VM is ready.
func (s *faultInjection) countReplacement(c *cell) {
	n := c.tier.byID[s.vm]
	before := n.self.Incarnation
	s.countEffects = func() int {
		if ready, _ := n.core.Ready(); n.dead || !ready || n.self.Incarnation == before {
			return 0
		}
		return 1
	}
}

// linkCut loses every message between two VMs, in one direction or in both.
func linkCut(both bool) func(*cell, *faultInjection, observation) func() {
	return func(c *cell, s *faultInjection, m observation) func() {
		peer := ""
		if p, ok := m.cmd.(vm.SendPeerCmd); ok && p.To != s.vm {
			peer = p.To
		}
		for peer == "" || peer == s.vm {
			peer = c.tier.vms[c.rng.IntN(len(c.tier.vms))].self.ID
		}
		c.tracef("link from %s to %s cut, both directions: %t", s.vm, peer, both)
		cut := [][2]string{{s.vm, peer}}
		if both {
			cut = append(cut, [2]string{peer, s.vm})
		}
		return c.faults.linkCut.add(func(from, to string) bool {
			lost := slices.Contains(cut, [2]string{from, to})
			if lost {
				s.effects++
			}
			return lost
		})
	}
}

func (c *cell) changeVMList(s *faultInjection, change func([]fleet.VM) []fleet.VM) func() {
	return c.faults.mapVMList.add(func(list []fleet.VM) []fleet.VM {
		s.effects++
		return change(slices.Clone(list))
	})
}

// vmListStale keeps listing the VMs from before the fault, while a VM is replaced.
func vmListStale(c *cell, s *faultInjection, _ observation) func() {
	var old []fleet.VM
	for _, n := range c.tier.vms {
		v := n.self
		v.Incarnation = 0
		old = append(old, v)
	}
	c.delayedVMs[s.vm] = true
	c.kill(s.vm)
	return c.changeVMList(s, func([]fleet.VM) []fleet.VM { return old })
}

func vmListMissing(c *cell, s *faultInjection, _ observation) func() {
	return c.changeVMList(s, func(list []fleet.VM) []fleet.VM {
		return slices.DeleteFunc(list, func(v fleet.VM) bool { return v.ID == s.vm })
	})
}

func vmListExtra(c *cell, s *faultInjection, _ observation) func() {
	return c.changeVMList(s, func(list []fleet.VM) []fleet.VM {
		return append(list, fleet.VM{ID: "vm-99", Address: "10.0.0.99:1", DataCentre: "dc-1"})
	})
}

// operatorsRacing starts two concurrent preset changes.
func operatorsRacing(c *cell, s *faultInjection, _ observation) func() {
	other, firstChange := c.randomVM(), len(c.presets.changes)
	for _, to := range []struct{ vm, preset string }{{s.vm, "maintenance"}, {other, "peak"}} {
		c.presets.start(to.vm, to.preset)
	}
	s.countEffects = func() int {
		ended := 0
		for _, ch := range c.presets.changes[firstChange:] {
			if ch.decidedAt != 0 {
				ended++
			}
		}
		return ended / 2
	}
	return nil
}
