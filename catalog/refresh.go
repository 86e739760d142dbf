package catalog

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const (
	// refreshIntervalMs is the time between two readings of the first prefix beside a pass that
	// no watch can follow.
	refreshIntervalMs clock.Millis = 800

	// refreshTimeoutMs bounds the time to the first byte of one of its pages.
	refreshTimeoutMs = 2 * clock.Second
)

// refresh reads the keys of the first prefix again and again beside a pass without a watch, so
// that their changes take effect before its last page.
type refresh struct {
	number uint64 // of the last call
	asked  bool   // it is outstanding
	after  string // key after which its page begins
	at     clock.Millis
}

// refreshDueAt returns when the next page of the first prefix is asked for again.
func (m *Model) refreshDueAt() (clock.Millis, bool) {
	p := m.pass
	if p == nil || !p.unwatched || p.prefix == 0 || p.refresh.asked {
		return 0, false
	}
	return p.refresh.at, true
}

// askRefresh asks for that page if it is due.
func (m *Model) askRefresh(now clock.Millis, cmds []Cmd) []Cmd {
	if at, ok := m.refreshDueAt(); !ok || now < at {
		return cmds
	}
	r := &m.pass.refresh
	r.number++
	r.asked = true
	return append(cmds, ListCmd{Pass: m.pass.id, Prefix: m.prefixes[0], After: r.after, Refresh: r.number, TimeoutMs: refreshTimeoutMs})
}

// awaitsRefresh reports whether a call is the outstanding one of the refresh.
func (p *pass) awaitsRefresh(c ListCmd) bool {
	return p != nil && p.refresh.asked && c.Pass == p.id && c.Refresh == p.refresh.number
}

// handleRefresh handles a page of the first prefix.
func (m *Model) handleRefresh(now clock.Millis, msg ListedMsg, cmds []Cmd) []Cmd {
	if era := msg.Batch.Era; era > 0 {
		cmds = m.enterEra(now, era, cmds)
	}
	p := m.pass
	if !p.awaitsRefresh(msg.Page) { // the era has ended
		return cmds
	}
	p.refresh.asked, p.refresh.after = false, msg.Next
	if p.refresh.at = now; msg.Next == "" {
		p.refresh.at = now + refreshIntervalMs
	}
	if p.goesBack || msg.Batch.Era > 0 && msg.Batch.Era != p.era {
		return cmds
	}
	return m.mergePage(now, msg, cmds)
}

// refreshFailed handles a page of the first prefix that did not arrive. The store is lost if
// the pages of the pass do not arrive either.
func (m *Model) refreshFailed(now clock.Millis, kind store.Kind, cmds []Cmd) []Cmd {
	p := m.pass
	p.refresh.asked = false
	if p.arriving {
		p.refresh.at = now + m.backOff()
		return cmds
	}
	m.doubted = true
	if now >= m.contactAt+minOutageMs {
		cmds = m.lose(now, kind, cmds)
	}
	p.refresh.at = now + m.backOff()
	return cmds
}
