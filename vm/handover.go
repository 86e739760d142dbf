package vm

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
)

const (
	// handoverMs is how long a new carrier limits its connections, so that the
	// former carrier can close its own. A change of the live list reaches every
	// VM within about 3 s.
	handoverMs = 4 * clock.Second
	// handoverPercent is the share of an upstream's connection limit that a new
	// carrier may open during the handover: half the headroom, because both
	// carriers may change at once.
	handoverPercent = (100 - 2*connectionSharePercent) / 2
	// handoverCheckMs is how often a new carrier checks whether the former
	// carriers are dead, which ends the handover early.
	handoverCheckMs = 200
)

// handovers holds the upstreams of which this VM has just become a carrier.
type handovers struct {
	open      map[string]handover
	nextCheck clock.Millis // time of the next check, 0 if no handover is open
}

// handover is the time in which this VM and a former carrier may both hold
// connections to one upstream.
type handover struct {
	deadline       clock.Millis
	formerCarriers []string // former carriers, which may still hold connections
}

// startHandover handles a change of the carriers of an upstream. A new carrier
// starts with few connections, because the former carriers close theirs only
// when the change has reached them. The connections of a dead VM are closed.
func (c *Core) startHandover(now clock.Millis, id string, oldLoads []carrierLoad) {
	h := &c.handovers
	if !c.carriers.IsCarrier(id, c.self.ID) {
		delete(h.open, id)
		return
	}
	var formerCarriers []string
	for _, load := range oldLoads {
		if load.vm == c.self.ID {
			return
		}
		if !c.carriers.IsCarrier(id, load.vm) {
			formerCarriers = append(formerCarriers, load.vm)
		}
	}
	h.open[id] = handover{deadline: now + handoverMs, formerCarriers: formerCarriers}
	if h.nextCheck == 0 {
		h.nextCheck = now + handoverCheckMs
	}
}

// done reports whether a new carrier may open its whole share. A VM without
// former carriers has just started; its handover lasts the full time, until it
// has its first view of the membership.
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

// notDead returns the members that are not known to be dead. A former member
// that is absent from the membership was removed some time after it died.
func (c *Core) notDead() map[string]bool {
	out := make(map[string]bool)
	for _, v := range c.fleet.Members() {
		if v.State != fleet.Dead {
			out[v.ID] = true
		}
	}
	return out
}

// finishHandovers ends the handovers that are done and raises their connection
// limits.
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
