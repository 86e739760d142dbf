package catalog

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const (
	// watchBesideMs is the age of a pass from which the store is watched beside it. Most passes
	// end sooner and need no further call.
	watchBesideMs clock.Millis = 300

	// Bounds of the time to the first byte of a page. The first page of a pass shows whether the
	// store is there; a later one may hold megabytes of other writers, so it is waited for as
	// long as watches are answered.
	firstPageTimeoutMs = clock.Second
	pageTimeoutMs      = 16 * clock.Second
	maxPageTimeoutMs   = clock.Minute

	// A page of which no byte has come is asked for once more, beside the earlier call, when the store
	// has answered a later call and the page has taken minHedgeMs, twice the time of the slowest page so far and
	// hedgeFactor times that of the later call: its reply may be lost.
	minHedgeMs   = clock.Second
	hedgeFactor  = 4
	maxPageCalls = 3

	// unwatchedHedgeMs replaces minHedgeMs if no watch goes beside the pass.
	unwatchedHedgeMs = 4 * clock.Second

	// Bounds of the time for the reply of a watch beside a pass, whose pages delay it. It doubles
	// with each watch that gets none.
	minSlackMs = 2 * clock.Second
	maxSlackMs = 8 * clock.Second

	// maxPassBytes bounds what is kept of the keys of a pass. The largest deployment in two
	// years, 9,500 upstreams and 1,600 VMs, needs less than 2 MB.
	maxPassBytes = 16 << 20

	// keyBytes is what is kept for a key beside its bytes.
	keyBytes = 128
)

// pass is one reading of all pages of the list.
//
// The pages are not a snapshot. If the history from pos on is available, a watch from there
// shows what changes meanwhile. Otherwise the pass has a gap: a watch begins at the revision of
// the first page, and its position becomes pos when the last page has been read.
type pass struct {
	id        uint64
	stale     bool // pages may be stale
	gap       bool
	unwatched bool // the history after the first page ended again, so no watch goes beside it
	begunAt   clock.Millis
	from      position // pos when the pass began

	prefix int    // index of the prefix that is read
	after  string // key after which the next page begins

	pages    int
	bytes    int
	era      uint64       // of the pages
	revision uint64       // lowest of the pages
	newEra   bool         // leads from an earlier era
	goesBack bool         // its revisions are lower in the same era: applied as a whole
	items    []store.Item // if it goes back: those of the pages,
	changes  []store.Item // and the changes of watches

	// Of a pass with a gap.
	watched     bool              // since the revision since
	since       uint64            // at which the watch has begun
	position    uint64            // up to which changes are known
	removed     map[string]uint64 // revisions of the removals that the watch has shown
	confirmedAt clock.Millis      // beginning of the last watch that ended

	besideAt  clock.Millis // no watch begins earlier
	calls     int          // outstanding for the page
	arriving  bool         // the reply to one has begun
	pageAt    clock.Millis // when the first of them was made
	askedAt   clock.Millis // when the last one was made
	retryAt   clock.Millis
	timeoutMs clock.Millis
	longestMs clock.Millis // time that a page has taken

	refresh refresh

	watchSlackMs clock.Millis
	watchedAt    clock.Millis // beginning of the last watch that was answered
	watchReplyMs clock.Millis // time for replies beyond the wait; falls slowly
}

// beginPass starts to read the list.
func (m *Model) beginPass(now clock.Millis) {
	m.passID++
	m.pass = &pass{
		id: m.passID, stale: !m.needFresh, gap: m.historyLost || m.pos.revision == 0, begunAt: now, from: m.pos,
		retryAt: now, besideAt: now + watchBesideMs, timeoutMs: firstPageTimeoutMs, watchSlackMs: minSlackMs, removed: make(map[string]uint64),
	}
}

// leavePass ends the pass, if there is one.
func (m *Model) leavePass(now clock.Millis, complete bool, cmds []Cmd) []Cmd {
	p := m.pass
	if p == nil {
		return cmds
	}
	m.pass = nil
	return append(cmds, ListReadCmd{Pages: p.pages, DurationMs: now - p.begunAt, Complete: complete})
}

// awaits reports whether a call is for the page that is read.
func (p *pass) awaits(m *Model, c ListCmd) bool {
	return p != nil && c.Refresh == 0 && c.Pass == p.id && c.Prefix == m.prefixes[p.prefix] && c.After == p.after && c.AllowStale == p.stale
}

// covers reports whether a page that ends at a key, or with its prefix, would show a key.
func (c ListCmd) covers(key, next string) bool {
	return strings.HasPrefix(key, c.Prefix) && key > c.After && (next == "" || key <= next)
}

// hedgeMs is the time after which a page is asked for once more.
func (p *pass) hedgeMs() clock.Millis {
	return max(minHedgeMs, 2*p.longestMs, hedgeFactor*p.watchReplyMs)
}

// slackMs is the time for the reply of a watch beside the pass.
func (p *pass) slackMs() clock.Millis { return min(max(p.watchSlackMs, 2*p.longestMs), maxSlackMs) }

// watchAnswered records that the store has answered a watch beside the pass.
func (p *pass) watchAnswered(now, begunAt, waitMs clock.Millis) {
	if p != nil {
		p.watchedAt, p.watchReplyMs, p.watchSlackMs = begunAt, max(now-begunAt-waitMs, p.watchReplyMs/2), minSlackMs
	}
}

// watchUnanswered records that a watch beside the pass got no reply in time.
func (p *pass) watchUnanswered() {
	p.watchReplyMs = max(p.watchReplyMs, p.watchSlackMs)
	p.watchSlackMs = min(2*p.watchSlackMs, maxSlackMs)
}

// isWatchable reports whether there is a revision from which a watch can show what changes
// during the pass.
func (p *pass) isWatchable() bool {
	return !p.unwatched && (!p.gap || p.pages > 0)
}

// probedByWatch reports whether a watch, not the next page, shows if the store is reachable.
func (p *pass) probedByWatch() bool { return p.pages > 0 && p.isWatchable() }

// watchFrom returns the position from which the next watch continues.
func (m *Model) watchFrom() position {
	if m.isBehindGap() {
		return position{m.pass.era, m.pass.position}
	}
	return m.pos
}

// isBehindGap reports whether watches show what follows a gap that a pass is still to close.
func (m *Model) isBehindGap() bool {
	return m.pass != nil && m.pass.gap && m.pass.pages > 0
}

// expedite makes the page, if no call for it is outstanding, and a watch due.
func (p *pass) expedite(now clock.Millis) {
	p.retryAt, p.besideAt = min(p.retryAt, now), min(p.besideAt, now)
}

// pageDueAt returns when the page is asked for, or asked for again.
func (m *Model) pageDueAt() (clock.Millis, bool) {
	p := m.pass
	switch {
	case p == nil || m.storeLost && p.probedByWatch():
		return 0, false
	case p.calls == 0:
		return p.retryAt, true
	case p.calls >= maxPageCalls || p.arriving || m.doubted || p.pages == 0:
		return 0, false
	case !p.isWatchable():
		return p.askedAt + max(p.hedgeMs(), unwatchedHedgeMs), true
	case p.watchedAt >= p.askedAt:
		return p.askedAt + p.hedgeMs(), true
	}
	return 0, false
}

// askPage asks for the next page if it is due.
func (m *Model) askPage(now clock.Millis, cmds []Cmd) []Cmd {
	if at, ok := m.pageDueAt(); !ok || now < at {
		return cmds
	}
	p := m.pass
	if p.calls == 0 {
		p.pageAt = now
	}
	p.calls++
	p.askedAt = now
	return append(cmds, ListCmd{Pass: p.id, Prefix: m.prefixes[p.prefix], After: p.after, AllowStale: p.stale, TimeoutMs: p.timeoutMs})
}

// handlePage handles a page. A page of an era that has ended, or one after others of an earlier
// era, ends the pass; so does the first of a new era if it may be stale.
func (m *Model) handlePage(now clock.Millis, msg ListedMsg, cmds []Cmd) []Cmd {
	awaited := m.pass.awaits(m, msg.Page)
	cmds = m.storeReached(now, cmds)
	switch {
	case m.pass.awaitsRefresh(msg.Page):
		return m.handleRefresh(now, msg, cmds)
	case !awaited:
		return cmds
	}
	b := msg.Batch
	m.backoff = 0
	if b.Era == 0 {
		b.Era = m.era
	}
	cmds = m.enterEra(now, b.Era, cmds)
	p := m.pass
	switch {
	case p == nil:
		return cmds
	case b.Era < m.era || p.pages > 0 && b.Era != p.era:
		m.needRelist, m.needFresh = true, true
		m.scheduleCall(now)
		return m.leavePass(now, false, cmds)
	case m.pos.era < m.era && p.stale:
		m.listAfresh(now)
		return m.leavePass(now, false, cmds)
	case p.stale && p.watched && b.Revision < p.since:
		// Changes between the page and the beginning of the watch would never be seen.
		p.stale, p.calls, p.arriving, p.retryAt = false, 0, false, now
		return cmds
	}
	p.add(now, b)
	if p.bytes > maxPassBytes {
		cmds = m.leavePass(now, false, cmds)
		return m.lose(now, store.KindTooLarge, cmds)
	}
	if p.pages == 1 {
		// A list that is not stale is never older than what was known when it was asked for. So
		// what is known is from before a return that showed no new era.
		p.newEra = m.pos.era < m.era
		p.goesBack = !p.newEra && !p.stale && b.Revision < p.from.revision && p.from.era == m.era
		p.gap = p.gap || p.newEra || p.goesBack
		m.enterItemsEra(p.era)
	}
	if p.goesBack {
		p.items = append(p.items, b.Items...)
	} else {
		cmds = m.mergePage(now, msg, cmds)
	}
	if p.after = msg.Next; p.after == "" {
		p.prefix++
	}
	if p.prefix == len(m.prefixes) {
		return m.endPass(now, cmds)
	}
	return cmds
}

// add records a page.
func (p *pass) add(now clock.Millis, b store.Batch) {
	p.pages++
	p.era = b.Era
	if p.pages == 1 || b.Revision < p.revision {
		p.revision = b.Revision
	}
	if !p.watched {
		p.since, p.position = p.revision, p.revision
	}
	for _, it := range b.Items {
		p.bytes += len(it.Key) + keyBytes
	}
	p.longestMs = max(p.longestMs, now-p.pageAt)
	p.calls, p.arriving, p.retryAt, p.timeoutMs = 0, false, now, max(p.timeoutMs, pageTimeoutMs)
}

// mergePage applies what a page shows of its keys.
func (m *Model) mergePage(now clock.Millis, msg ListedMsg, cmds []Cmd) []Cmd {
	present := make(map[string]bool, len(msg.Batch.Items))
	var changed []store.Item
	for _, it := range msg.Batch.Items {
		present[it.Key] = true
		if m.isNewer(it, msg.Batch.Revision) && !m.isUnchanged(it) {
			changed = append(changed, it)
		}
	}
	var absent []string
	for key, k := range m.items {
		// A stale page may be older than the known revision of a key.
		if !present[key] && k.revision <= msg.Batch.Revision && msg.Page.covers(key, msg.Next) {
			absent = append(absent, key)
		}
	}
	for key := range m.republish {
		if _, ok := m.items[key]; !ok && !present[key] && msg.Page.covers(key, msg.Next) {
			absent = append(absent, key)
		}
	}
	slices.Sort(absent)
	for _, key := range absent {
		changed = append(changed, store.Item{Key: key, Revision: msg.Batch.Revision, Removed: true})
	}
	for _, it := range changed {
		_, existed := m.items[it.Key]
		switch {
		case it.Removed:
			m.holdRemoval(now, it)
		case m.pass.newEra:
			delete(m.pendingRemovals, it.Key)
			cmds = m.reportItem(it, !existed && it.Revision <= m.pos.revision, cmds)
		default:
			cmds = m.putItem(it, cmds)
		}
	}
	return m.keepAhead(changed, cmds)
}

// enterItemsEra makes the known keys those of a new era. Their revisions there are not known yet.
func (m *Model) enterItemsEra(era uint64) {
	if m.itemsEra >= era {
		return
	}
	m.itemsEra = era
	for key, k := range m.items {
		m.items[key] = known{hash: k.hash}
	}
	for key, r := range m.pendingRemovals {
		m.pendingRemovals[key] = removal{reportAt: r.reportAt}
	}
	for _, it := range m.ahead {
		m.republish[it.Key] = true
	}
	m.ahead = nil
}

// isAheadOfEra reports whether changes of an era before another one were applied that a difference
// between the known position and the later era does not cover.
func (m *Model) isAheadOfEra(era uint64) bool {
	return len(m.republish) > 0 || m.itemsEra < era && len(m.ahead) > 0
}

// isUnchanged reports whether an item of a new era has the value that is known from an earlier
// one, and records its revision.
func (m *Model) isUnchanged(it store.Item) bool {
	k, ok := m.items[it.Key]
	_, pending := m.pendingRemovals[it.Key]
	if !ok || pending || k.revision > 0 || k.hash != xxhash.Sum64(it.Value) || m.republish[it.Key] {
		return false
	}
	m.items[it.Key] = known{revision: it.Revision, hash: k.hash}
	return true
}

// keepAhead keeps changes that were applied although earlier ones may be missing. Subscribers get
// those behind a gap at once, but stay at their position; the others come with a watch. Those of a
// new era they can apply only together.
func (m *Model) keepAhead(items []store.Item, cmds []Cmd) []Cmd {
	if m.pos.revision == 0 {
		return cmds // there are no subscribers before the first pass has ended
	}
	m.ahead = m.withoutSuperseded(append(m.ahead, items...))
	if m.isBehindGap() && !m.pass.newEra && (len(items) > 0 || m.pass.watched) {
		return m.publish(newUpdate(m.pos, m.pos, items), cmds)
	}
	return cmds
}

// dropAhead drops the changes up to pos, which are published with it.
func (m *Model) dropAhead() {
	m.ahead = slices.DeleteFunc(m.ahead, func(it store.Item) bool { return it.Revision <= m.pos.revision })
}

// handleWatchBehindGap handles the changes of a watch that has begun behind a gap.
func (m *Model) handleWatchBehindGap(now clock.Millis, b store.Batch, cmds []Cmd) []Cmd {
	p := m.pass
	p.confirmedAt, m.historyEnded = m.begunAt, false
	p.position = max(p.position, b.Revision)
	for _, it := range b.Items {
		if it.Removed {
			p.removed[it.Key] = max(p.removed[it.Key], it.Revision)
		}
	}
	if p.goesBack {
		p.changes = append(p.changes, b.Items...)
		return cmds
	}
	cmds = m.applyItems(now, b.Items, cmds)
	return m.keepAhead(b.Items, cmds)
}

// endPass ends the pass after its last page.
func (m *Model) endPass(now clock.Millis, cmds []Cmd) []Cmd {
	p := m.pass
	cmds = m.leavePass(now, true, cmds)
	if p.goesBack {
		cmds = m.goBackByList(now, p, cmds)
		m.confirmedAt = max(m.confirmedAt, p.confirmedAt)
		return m.applyChanges(now, Update{Items: p.changes, To: p.position}, cmds)
	}
	m.needRelist, m.needFresh, m.historyLost, m.listedAt = false, false, false, now
	if !p.stale {
		m.current, m.confirmedAt = true, max(m.confirmedAt, p.begunAt)
	}
	if p.confirmedAt > 0 {
		m.current, m.confirmedAt = true, max(m.confirmedAt, p.confirmedAt)
	}
	if m.phase == phaseIdle {
		// Open a watch immediately after a list: no event is known for which a delay would help.
		m.nextCall = max(now, m.resumeAt)
	}
	to := p.revision
	if p.gap {
		to = p.position
	}
	from := m.pos
	m.pos.revision = max(m.pos.revision, to)
	if p.newEra {
		m.pos = position{p.era, to}
	}
	u := newUpdate(from, m.pos, m.withoutSuperseded(m.ahead))
	u.Listed = !p.newEra
	m.ahead, m.republish = nil, make(map[string]bool)
	return m.publish(u, cmds)
}

// pageFailed handles a page that did not arrive. It is asked for again; the pages before it
// stay read.
func (m *Model) pageFailed(now clock.Millis, c ListCmd, kind store.Kind, cmds []Cmd) []Cmd {
	p := m.pass
	switch {
	case p.awaitsRefresh(c):
		return m.refreshFailed(now, kind, cmds)
	case !p.awaits(m, c):
		return cmds
	}
	if c.TimeoutMs == p.timeoutMs {
		p.timeoutMs = min(2*p.timeoutMs, maxPageTimeoutMs)
	}
	p.arriving = false
	if p.calls = max(p.calls-1, 0); p.calls > 0 {
		return cmds
	}
	doubted := m.doubted
	m.doubted = true
	switch {
	case p.probedByWatch():
		p.retryAt = now + m.backOff()
		if m.phase == phaseIdle {
			m.probe, m.nextCall, p.besideAt = true, now, now
		}
		return cmds
	case m.phase != phaseIdle && !doubted: // the watch shows whether the store is reachable
		p.retryAt = now + m.backOff()
		return cmds
	}
	cmds = m.lose(now, kind, cmds)
	p.retryAt = m.nextCall
	return cmds
}
