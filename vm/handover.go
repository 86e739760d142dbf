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
	open map[string]handover
	next clock.Millis // when to look at them, 0 if there is none
}

// handover is the change of one carrier of one upstream.
type handover struct {
	until clock.Millis
	gone  []string // former carriers that may still hold connections
}

// beginHandover notes that the carriers of an upstream changed. A new carrier
// starts with few connections, because the former ones close theirs only once
// they know of the change. Those of a dead VM are closed.
func (c *Core) beginHandover(now clock.Millis, id string, former []carrierLoad) {
	h := &c.handovers
	if !c.carriers.IsCarrier(id, c.self.ID) {
		delete(h.open, id)
		return
	}
	var gone []string
	for _, f := range former {
		if f.vm == c.self.ID {
			return
		}
		if !c.carriers.IsCarrier(id, f.vm) {
			gone = append(gone, f.vm)
		}
	}
	h.open[id] = handover{until: now + handoverMs, gone: gone}
	if h.next == 0 {
		h.next = now + handoverCheckMs
	}
}

// over reports whether a new carrier may open its whole share. A VM that knew
// no former carrier has just started, and waits for its first view of the fleet.
func (h *handover) over(now clock.Millis, present map[string]bool) bool {
	if now >= h.until {
		return true
	}
	for _, id := range h.gone {
		if present[id] {
			return false
		}
	}
	return len(h.gone) > 0
}

// present returns the members that are not known to be dead. Those that are
// missing were forgotten some time after their death.
func (c *Core) present() map[string]bool {
	out := make(map[string]bool)
	for _, v := range c.fleet.Members() {
		if v.State != fleet.Dead {
			out[v.ID] = true
		}
	}
	return out
}

// endHandovers raises the limits whose time has come.
func (c *Core) endHandovers(now clock.Millis) {
	h := &c.handovers
	if h.next == 0 || now < h.next {
		return
	}
	present := c.present()
	for _, id := range c.carriers.upstreams {
		if open, ok := h.open[id]; ok && open.over(now, present) {
			delete(h.open, id)
			c.setConnections(id)
		}
	}
	h.next = 0
	if len(h.open) > 0 {
		h.next = now + handoverCheckMs
	}
}
