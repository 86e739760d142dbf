package experiment

import (
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/vm"
)

// lapseMs exceeds every timeout of a VM, the longest being that of a store call.
const lapseMs = 12 * clock.Second

func flooding(r rank.Rank) func(*cell, *strike, moment) func() {
	return func(c *cell, s *strike, _ moment) func() {
		c.load.stream(cellFloodRate, c.tier.Loop.Now()+faultMs/2, func() {
			s.effects++
			c.load.query(r)
		})
		return nil
	}
}

func storeDown(c *cell, s *strike, _ moment) func() {
	st := c.tier.Store
	st.Down = true
	before := st.Failed
	s.hits = func() int { return st.Failed - before }
	return func() { st.Down = false }
}

func storeSlow(c *cell, s *strike, _ moment) func() {
	st := c.tier.Store
	st.ExtraDelayMs = 700
	before := st.Reads + st.Writes
	s.hits = func() int { return st.Reads + st.Writes - before }
	return func() { st.ExtraDelayMs = 0 }
}

// storeAnswerLost loses answers to writes, at least one even if it comes after the fault's time.
func storeAnswerLost(c *cell, s *strike, _ moment) func() {
	healed := false
	c.faults.loseAnswer.add(func() bool {
		lost := s.effects == 0 || !healed && c.rng.IntN(2) == 0
		if lost {
			s.effects++
		}
		return lost
	})
	return func() { healed = true }
}

// leaseLapsed pauses a claim owner or a watcher past every timeout.
func leaseLapsed(c *cell, s *strike, m moment) func() {
	if _, to, ok := claimOf(m); ok && !c.tier.byID[to].dead {
		s.vm = to
	}
	if !s.step.orders {
		if watchers := c.tier.byID[s.vm].core.Status(c.tier.Loop.Now()).Watchers; len(watchers) > 0 {
			s.vm = watchers[c.rng.IntN(len(watchers))]
		}
	}
	c.pause(s, lapseMs)
	return nil
}

func vmPaused(c *cell, s *strike, _ moment) func() {
	c.pause(s, 2*clock.Second)
	return nil
}

func (c *cell) pause(s *strike, d clock.Millis) {
	c.heldBack[s.vm] = true
	n := c.tier.byID[s.vm]
	before := n.held
	s.hits = func() int { return n.held - before }
	c.tier.Pause(s.vm, d)
	c.load.paused(s.vm, c.tier.Loop.Now()+d)
	c.note("%s paused for %d ms", s.vm, d)
}

func vmKilled(c *cell, s *strike, _ moment) func() {
	c.heldBack[s.vm] = true
	c.kill(s.vm)
	s.replaced(c)
	return nil
}

func vmStopped(c *cell, s *strike, _ moment) func() {
	c.stop(s.vm)
	s.replaced(c)
	return nil
}

// replaced counts a new process of the VM that is ready as the effect.
func (s *strike) replaced(c *cell) {
	n := c.tier.byID[s.vm]
	before := n.self.Incarnation
	s.hits = func() int {
		if ready, _ := n.core.Ready(); n.dead || !ready || n.self.Incarnation == before {
			return 0
		}
		return 1
	}
}

// linkCut loses every message between two VMs, in one direction or both.
func linkCut(both bool) func(*cell, *strike, moment) func() {
	return func(c *cell, s *strike, m moment) func() {
		peer := ""
		if p, ok := m.cmd.(vm.SendPeerCmd); ok && p.To != s.vm {
			peer = p.To
		}
		for peer == "" || peer == s.vm {
			peer = c.tier.nodes[c.rng.IntN(len(c.tier.nodes))].self.ID
		}
		c.note("link from %s to %s cut, both ways: %t", s.vm, peer, both)
		cut := [][2]string{{s.vm, peer}}
		if both {
			cut = append(cut, [2]string{peer, s.vm})
		}
		return c.faults.cut.add(func(from, to string) bool {
			lost := slices.Contains(cut, [2]string{from, to})
			if lost {
				s.effects++
			}
			return lost
		})
	}
}

func (c *cell) lagging(s *strike, change func([]fleet.VM) []fleet.VM) func() {
	return c.faults.roster.add(func(list []fleet.VM) []fleet.VM {
		s.effects++
		return change(slices.Clone(list))
	})
}

// rosterStale shows the list of before, while a VM is replaced.
func rosterStale(c *cell, s *strike, _ moment) func() {
	var old []fleet.VM
	for _, n := range c.tier.nodes {
		v := n.self
		v.Incarnation = 0
		old = append(old, v)
	}
	c.heldBack[s.vm] = true
	c.kill(s.vm)
	return c.lagging(s, func([]fleet.VM) []fleet.VM { return old })
}

func rosterMissing(c *cell, s *strike, _ moment) func() {
	return c.lagging(s, func(list []fleet.VM) []fleet.VM {
		return slices.DeleteFunc(list, func(v fleet.VM) bool { return v.ID == s.vm })
	})
}

func rosterExtra(c *cell, s *strike, _ moment) func() {
	return c.lagging(s, func(list []fleet.VM) []fleet.VM {
		return append(list, fleet.VM{ID: "vm-99", Address: "10.0.0.99:1", DataCentre: "dc-1"})
	})
}

// operatorsRacing starts two changes against the store at once.
func operatorsRacing(c *cell, s *strike, _ moment) func() {
	other, first := c.anyVM(), len(c.changes.changes)
	for _, to := range []struct{ vm, preset string }{{s.vm, "maintenance"}, {other, "peak"}} {
		c.changes.start(to.vm, to.preset)
	}
	s.hits = func() int {
		ended := 0
		for _, ch := range c.changes.changes[first:] {
			if ch.at != 0 {
				ended++
			}
		}
		return ended / 2
	}
	return nil
}
