package vm

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
)

const (
	// handoverMs is how long a new carrier leaves the connections to its
	// predecessor. A change of the live list reaches every VM within about 3 s.
	handoverMs = 4 * clock.Second
	// handoverPercent is the share of an upstream's connection limit that a new
	// carrier may open meanwhile: half the headroom, because both carriers may
	// change at once.
	handoverPercent = (100 - 2*connectionSharePercent) / 2
	// handoverCheckMs is how often a new carrier looks whether its predecessors
	// have died meanwhile.
	handoverCheckMs = 200
)

// handovers holds the upstreams whose connections this VM takes over.
type handovers struct {
	open      map[string]handover
	nextCheck clock.Millis // when to look at them, 0 if there is none
}

// handover is the change of one carrier of one upstream.
type handover struct {
	deadline       clock.Millis
	formerCarriers []string // former carriers that may still hold connections
}

// startHandover notes that the carriers of an upstream changed. A new carrier
// starts with few connections, because the former ones close theirs only once
// they know of the change. Those of a dead VM are closed.
func (c *Core) startHandover(now clock.Millis, id string, oldLoads []carrierLoad) {
	h := &c.handovers
	if !c.carriers.IsCarrier(id, c.self.ID) {
		delete(h.open, id)
		return
	}
	var formerCarriers []string
	for _, f := range oldLoads {
		if f.vm == c.self.ID {
			return
		}
		if !c.carriers.IsCarrier(id, f.vm) {
			formerCarriers = append(formerCarriers, f.vm)
		}
	}
	h.open[id] = handover{deadline: now + handoverMs, formerCarriers: formerCarriers}
	if h.nextCheck == 0 {
		h.nextCheck = now + handoverCheckMs
	}
}

// done reports whether a new carrier may open its whole share. A VM that knew
// no former carrier has just started, and waits for its first view of the fleet.
func (h *handover) done(now clock.Millis, notDead map[string]bool) bool {
	if now >= h.deadline {
		return true
	}
	for _, id := range h.formerCarriers {
		if notDead[id] {
			return false
		}
	}
	return len(h.formerCarriers) > 0
}

// notDead returns the members that are not known to be dead. Those that are
// missing were forgotten some time after their death.
func (c *Core) notDead() map[string]bool {
	out := make(map[string]bool)
	for _, v := range c.fleet.Members() {
		if v.State != fleet.Dead {
			out[v.ID] = true
		}
	}
	return out
}

// finishHandovers raises the limits whose time has come.
func (c *Core) finishHandovers(now clock.Millis) {
	h := &c.handovers
	if h.nextCheck == 0 || now < h.nextCheck {
		return
	}
	notDead := c.notDead()
	for _, id := range c.carriers.upstreams {
		if open, ok := h.open[id]; ok && open.done(now, notDead) {
			delete(h.open, id)
			c.setConnectionLimit(id)
		}
	}
	h.nextCheck = 0
	if len(h.open) > 0 {
		h.nextCheck = now + handoverCheckMs
	}
}
