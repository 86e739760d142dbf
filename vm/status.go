package vm

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/query"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

// NextWake returns when the core needs its next TickMsg.
func (c *Core) NextWake() (clock.Millis, bool) {
	wake := c.nextPoll
	if c.handovers.nextCheck > 0 {
		wake = min(wake, c.handovers.nextCheck)
	}
	for _, m := range []interface{ NextWake() (clock.Millis, bool) }{c.admission, c.queries, c.pool, c.orders, c.fleet} {
		if at, ok := m.NextWake(); ok {
			wake = min(wake, at)
		}
	}
	if at, ok := c.stallWake(); ok {
		wake = min(wake, at)
	}
	return wake, true
}

// OpenConnections returns the connections of this VM to an upstream, busy and idle.
func (c *Core) OpenConnections(id string) int { return c.pool.OpenConns(id) }

// Ready reports whether the load balancer may send requests to this VM, and the
// reason if it may not.
func (c *Core) Ready() (bool, string) {
	switch {
	case c.stopping:
		return false, "stopping"
	case !c.fleet.Ready():
		return false, "no preset record yet"
	}
	return true, ""
}

// Drained reports whether a stopping VM has no pending work.
func (c *Core) Drained(now clock.Millis) bool { return c.stopping && len(c.PendingWork(now)) == 0 }

// OnlyStoreWritesPending reports whether a stopping VM has finished all requests and
// attempts, and only store writes of order marks and releases are pending.
func (c *Core) OnlyStoreWritesPending(now clock.Millis) bool {
	return len(c.calls) == 0 && c.admission.Idle() && c.pool.Idle() && c.fleet.StopAnnounced(now)
}

// PendingWork lists the work that a stopping VM must finish before it is drained.
func (c *Core) PendingWork(now clock.Millis) []string {
	var out []string
	add := func(name string, done bool) {
		if !done {
			out = append(out, name)
		}
	}
	add("requests", len(c.calls) == 0)
	add("admission", c.admission.Idle())
	add("attempts", c.pool.Idle())
	add(fmt.Sprintf("orders (%d open, %d claims, %d releases)",
		c.orders.OpenOrders(), c.orders.PendingOperations(), c.orders.PendingReleases()), c.orders.Drained())
	add("announcement", c.fleet.StopAnnounced(now))
	return out
}

// Preset returns the preset in force and its revision.
func (c *Core) Preset() (preset.Preset, uint64) { return c.preset, c.revision }

// Record returns the record in force.
func (c *Core) Record() preset.Record { return c.fleet.Record() }

// Events returns the events in the ring that match f.
func (c *Core) Events(f timeline.Filter) []timeline.Event { return c.ring.Events(f) }

// Members returns all known members.
func (c *Core) Members() []fleet.VM { return c.fleet.Members() }

// QueryTotals returns the totals of a rank.
func (c *Core) QueryTotals(r rank.Rank) query.Totals { return c.queries.Totals(r) }

// DroppedReplies returns how many replies were dropped for the given reason.
func (c *Core) DroppedReplies(d query.DropReason) int { return c.queries.Dropped(d) }

// OrderStats returns the totals of the order state machine.
func (c *Core) OrderStats() order.Stats { return c.orders.Stats() }

// OpenForwards returns the number of open attempts forwarded to other VMs.
func (c *Core) OpenForwards() int { return len(c.forwards.open) }

// RankLoad is the load of one rank of one service.
type RankLoad struct {
	Service string    `json:"service"`
	Rank    rank.Rank `json:"rank"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
}

// RankTotals counts the work of one rank since the VM started.
type RankTotals struct {
	Rank           rank.Rank `json:"rank"`
	Queries        int       `json:"queries"`
	AttemptsNeeded int       `json:"attempts_needed"`
	AttemptsSent   int       `json:"attempts_sent"`
	Hedges         int       `json:"hedges"`
	Retries        int       `json:"retries"`
}

// Status is the state of a VM as reported to operators.
type Status struct {
	VM         string             `json:"vm"`
	DataCentre string             `json:"data_centre"`
	Ready      bool               `json:"ready"`
	Reason     string             `json:"reason,omitempty"`
	Stale      bool               `json:"stale"`
	Preset     string             `json:"preset"`
	Revision   uint64             `json:"revision"`
	Members    []fleet.VM         `json:"members"`
	Watchers   []string           `json:"watchers"`
	Load       []RankLoad         `json:"load"`
	Limits     map[string]int     `json:"limits"`
	Avoided    []upstream.Avoided `json:"avoided"`
	OpenOrders int                `json:"open_orders"`
	Totals     []RankTotals       `json:"totals"`
}

// Status returns the state of the VM at now.
func (c *Core) Status(now clock.Millis) Status {
	ready, reason := c.Ready()
	s := Status{
		VM: c.self.ID, DataCentre: c.self.DataCentre, Ready: ready, Reason: reason, Stale: c.fleet.Stale(now),
		Preset: c.preset.Name, Revision: c.revision, Members: c.fleet.Members(), Watchers: c.fleet.Watchers(),
		Limits: make(map[string]int), Avoided: c.balancer.Avoided(now), OpenOrders: c.orders.OpenOrders(),
	}
	for _, r := range rank.All() {
		t := c.queries.Totals(r)
		s.Totals = append(s.Totals, RankTotals{
			Rank: r, Queries: t.Queries, AttemptsNeeded: t.AttemptsNeeded, AttemptsSent: t.Sent, Hedges: t.Hedges, Retries: t.Retries,
		})
	}
	for _, svc := range c.serviceList {
		name := svc.name
		s.Limits[name] = c.admission.Limit(name)
		for _, r := range rank.All() {
			load := RankLoad{Service: name, Rank: r, Running: c.admission.Running(name, r), Queued: c.admission.Queued(name, r)}
			if load.Running+load.Queued > 0 {
				s.Load = append(s.Load, load)
			}
		}
	}
	return s
}

// Address returns the address of a member, or "".
func (c *Core) Address(id string) string { return c.fleet.Address(id) }
