package order

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

// release remembers a token under which nothing was run and nothing will be
// sent. While pending, the release is asked for until an owner has written it.
type release struct {
	token   Token
	id      string
	hash    Hash
	issued  clock.Millis
	pending bool
	nextAsk clock.Millis
	backoff clock.Millis
	forget  clock.Millis // while not pending
	asks    int
	again   bool // to be asked for once more at the end of the quarantine
}

const (
	releaseBackoffMs    clock.Millis = 500
	releaseBackoffMaxMs              = 30 * clock.Second
	// A delayed or doubled claim request can still be written after the token
	// was given up. Its confirmation is answered by another release; since the
	// confirmation can be lost too, one more release follows after this time.
	quarantineMs = 15 * clock.Second
)

// remember keeps the token of a closed submission. A pending release is kept
// until it is written or its id is past Window, and releaseLimit bounds the
// memory: above it the oldest is dropped and its claim stays, which blocks that
// id but never runs it twice.
func (m *Model) remember(now clock.Millis, o *submission, pending, again bool) {
	seq := o.token.Seq
	r := &release{
		token: o.token, id: o.msg.ID, hash: o.hash, issued: o.issued,
		pending: pending, again: again, backoff: releaseBackoffMs, forget: now + quarantineMs,
	}
	m.releases[seq] = r
	m.oldest = append(m.oldest, seq)
	m.boundReleases()
	if pending {
		m.askRelease(now, r)
		return
	}
	m.wakeAt(r.forget, timerRelease, seq)
}

func (m *Model) boundReleases() {
	if len(m.oldest) <= m.cfg.releaseLimit {
		return
	}
	m.oldest = slices.DeleteFunc(m.oldest, func(seq uint64) bool { return m.releases[seq] == nil })
	for len(m.oldest) > m.cfg.releaseLimit {
		delete(m.releases, m.oldest[0])
		m.oldest = m.oldest[1:]
	}
}

func (m *Model) askRelease(now clock.Millis, r *release) {
	r.nextAsk = now + r.backoff
	r.backoff = min(2*r.backoff, releaseBackoffMaxMs)
	m.wakeAt(r.nextAsk, timerRelease, r.token.Seq)
	vms := m.ranked[r.hash.Partition()]
	to := vms[r.asks/asksPerOwner%len(vms)]
	r.asks++
	m.tell(now, to, ClaimRequestMsg{Op: OpRelease, Token: r.token, ID: r.hash, IssuedAt: r.issued, Timeout: markKeepMs})
}

func (m *Model) releaseDue(now clock.Millis, seq uint64) {
	r := m.releases[seq]
	switch {
	case r == nil:
	case r.pending && now > r.issued+MaxIDAge, !r.pending && !r.again && now >= r.forget:
		m.forgetRelease(seq)
	case !r.pending && now >= r.forget:
		r.again = false
		m.reopen(now, r)
	case r.pending && now >= r.nextAsk:
		m.askRelease(now, r)
	}
}

func (m *Model) forgetRelease(seq uint64) {
	delete(m.releases, seq)
	for len(m.oldest) > 0 && m.releases[m.oldest[0]] == nil {
		m.oldest = m.oldest[1:]
	}
}

// claimedLate handles an answer for a token that is no longer claiming. A token
// under which an attempt was sent has no release unless that attempt proved not run.
func (m *Model) claimedLate(now clock.Millis, msg ClaimResponseMsg) {
	r := m.releases[msg.Token.Seq]
	if r == nil {
		return
	}
	switch {
	case msg.Result == ResultReleased:
		r.pending = false
		r.forget = now + quarantineMs
		m.wakeAt(r.forget, timerRelease, msg.Token.Seq)
	case msg.Result == ResultClaimed && !r.pending:
		m.reopen(now, r)
	}
}

// reopen asks for a release again after an earlier one was written or not needed.
func (m *Model) reopen(now clock.Millis, r *release) {
	r.pending, r.backoff, r.asks = true, releaseBackoffMs, 0
	m.askRelease(now, r)
}
