package experiment

import (
	"strings"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/vm"
)

// target returns the upstream of the observation, or a random one of the service
// that the step is about.
func (c *cell) target(s *faultInjection, m observation) (string, *Upstream) {
	id := ""
	if d, ok := m.cmd.(vm.DispatchCmd); ok {
		id = d.Request.Upstream
	}
	if m.replyTo != nil {
		id = m.replyTo.Upstream
	}
	for prefix := "search/"; id == ""; {
		if s.step.orders {
			prefix = "orders/"
		}
		if candidate := c.tier.upstreamIDs[c.rng.IntN(len(c.tier.upstreamIDs))]; strings.HasPrefix(candidate, prefix) {
			id = candidate
		}
	}
	c.tracef("fault %s affects %s", s.fault.name, id)
	return id, c.tier.Upstreams[id]
}

// countRequests counts each further request that reaches the upstream as an effect.
func countRequests(s *faultInjection, up *Upstream) {
	previous := up.OnReceive
	up.OnReceive = func(r attempt.Request) {
		s.effects++
		previous(r)
	}
}

func straggler(c *cell, s *faultInjection, m observation) func() {
	_, up := c.target(s, m)
	up.SlowFactor = 10
	countRequests(s, up)
	return func() { up.SlowFactor = 1 }
}

func replicaLost(c *cell, s *faultInjection, m observation) func() {
	_, up := c.target(s, m)
	up.Dead = true
	countRequests(s, up)
	return func() { up.Dead = false }
}

// repartition moves keys from one group to the next. The replicas adopt the new
// shard map at different times.
func repartition(c *cell, s *faultInjection, _ observation) func() {
	const moved = 40
	g := c.rng.IntN(c.tier.Config.Groups - 1)
	for i, id := range c.tier.upstreamIDs {
		group, replica := i/c.tier.Config.Replicas, i%c.tier.Config.Replicas
		up := c.tier.Upstreams[id]
		if group != g && group != g+1 || !strings.HasPrefix(id, "search/") {
			continue
		}
		after := clock.Millis(replica*400 + c.rng.IntN(200))
		c.tier.Loop.After(after, func() {
			keys := up.Ranges[0]
			if group == g {
				keys.To -= moved
			} else {
				keys.From -= moved
			}
			up.Ranges, up.Epoch = []coverage.Range{keys}, up.Epoch+1
			countRequests(s, up)
		})
	}
	return nil
}

// indexChange loads a new snapshot and drops the old one, at different times on
// each upstream.
func indexChange(c *cell, s *faultInjection, _ observation) func() {
	for _, id := range c.tier.upstreamIDs {
		up := c.tier.Upstreams[id]
		if len(up.HeldVersions) == 0 {
			continue
		}
		latest := up.HeldVersions[len(up.HeldVersions)-1]
		loaded := clock.Millis(c.rng.Int64N(1500))
		dropped := loaded + clock.Millis(c.rng.Int64N(1500))
		c.tier.Loop.After(loaded, func() { up.HeldVersions = []uint64{latest, latest + 1} })
		c.tier.Loop.After(dropped, func() {
			up.HeldVersions = []uint64{latest + 1}
			countRequests(s, up)
		})
	}
	return nil
}

func upstreamLeaving(c *cell, s *faultInjection, m observation) func() {
	id, up := c.target(s, m)
	up.Leaving = true
	c.upstreamLog.leavingSince[id] = c.tier.Loop.Now()
	c.faults.onCmd = append(c.faults.onCmd, func(_ string, cmd vm.Cmd) {
		if e, ok := cmd.(vm.EventCmd); ok && e.Event.Kind == timeline.UpstreamLeaving && e.Event.Upstream == id {
			s.effects++
		}
	})
	return func() {
		up.Leaving = false
		delete(c.upstreamLog.leavingSince, id)
	}
}

func upstreamCold(c *cell, s *faultInjection, m observation) func() {
	_, up := c.target(s, m)
	up.ColdUntil = c.tier.Loop.Now() + faultMs
	countRequests(s, up)
	return nil
}

func upstreamShedding(c *cell, s *faultInjection, m observation) func() {
	_, up := c.target(s, m)
	up.Workers, up.ShedAbove = 1, 1
	countRequests(s, up)
	return func() { up.Workers, up.ShedAbove = 0, 0 }
}

// upstreamLying makes an upstream slow and lets it shed load, while its load
// endpoint reports it as healthy and lists snapshots that it does not hold.
func upstreamLying(c *cell, s *faultInjection, m observation) func() {
	id, up := c.target(s, m)
	up.SlowFactor, up.Workers, up.ShedAbove = 6, 4, 2
	heal := c.faults.mapLoad.add(func(polled upstream.ID, load upstream.Load) upstream.Load {
		if string(polled) == id {
			s.effects++
			load = upstream.Load{Healthy: true, HeldVersions: []uint64{1, 99}}
		}
		return load
	})
	return func() {
		up.SlowFactor, up.Workers, up.ShedAbove = 1, 0, 0
		heal()
	}
}
