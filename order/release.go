package order

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

// release remembers a token under which nothing was run and nothing will be
// sent. While pending, the release is asked for until an owner has written it.
type release struct {
	token    Token
	id       string
	hash     Hash
	issuedAt clock.Millis
	pending  bool
	retryAt  clock.Millis
	backoff  clock.Millis
	dropAt   clock.Millis // while not pending
	tries    int
	repeat   bool // to be asked for once more at the end of the quarantine
}

const (
	minReleaseBackoffMs clock.Millis = 500
	maxReleaseBackoffMs              = 30 * clock.Second
	// A delayed or doubled claim request can still be written after the token
	// was given up. Its confirmation is answered by another release; since the
	// confirmation can be lost too, one more release follows after this time.
	quarantineMs = 15 * clock.Second
)

// trackRelease keeps the token of a closed submission. A pending release is kept
// until it is written or its id is past Window, and releaseLimit bounds the
// memory: above it the oldest is dropped and its claim stays, which blocks that
// id but never runs it twice.
func (m *Model) trackRelease(now clock.Millis, o *submission, pending, again bool) {
	seq := o.token.Seq
	r := &release{
		token: o.token, id: o.msg.ID, hash: o.hash, issuedAt: o.issuedAt,
		pending: pending, repeat: again, backoff: minReleaseBackoffMs, dropAt: now + quarantineMs,
	}
	m.releases[seq] = r
	m.releasesByAge = append(m.releasesByAge, seq)
	m.evictReleases()
	if pending {
		m.sendRelease(now, r)
		return
	}
	m.setTimer(r.dropAt, timerRelease, seq)
}

func (m *Model) evictReleases() {
	if len(m.releasesByAge) <= m.cfg.maxReleases {
		return
	}
	m.releasesByAge = slices.DeleteFunc(m.releasesByAge, func(seq uint64) bool { return m.releases[seq] == nil })
	for len(m.releasesByAge) > m.cfg.maxReleases {
		delete(m.releases, m.releasesByAge[0])
		m.releasesByAge = m.releasesByAge[1:]
	}
}

func (m *Model) sendRelease(now clock.Millis, r *release) {
	r.retryAt = now + r.backoff
	r.backoff = min(2*r.backoff, maxReleaseBackoffMs)
	m.setTimer(r.retryAt, timerRelease, r.token.Seq)
	vms := m.candidates[r.hash.Partition()]
	to := vms[r.tries/triesPerOwner%len(vms)]
	r.tries++
	m.sendToOwner(now, to, ClaimRequestMsg{Op: OpRelease, Token: r.token, ID: r.hash, IssuedAt: r.issuedAt, Timeout: queueTimeoutMs})
}

func (m *Model) checkRelease(now clock.Millis, seq uint64) {
	r := m.releases[seq]
	switch {
	case r == nil:
	case r.pending && now > r.issuedAt+MaxIDAge, !r.pending && !r.repeat && now >= r.dropAt:
		m.dropRelease(seq)
	case !r.pending && now >= r.dropAt:
		r.repeat = false
		m.restartRelease(now, r)
	case r.pending && now >= r.retryAt:
		m.sendRelease(now, r)
	}
}

func (m *Model) dropRelease(seq uint64) {
	delete(m.releases, seq)
	for len(m.releasesByAge) > 0 && m.releases[m.releasesByAge[0]] == nil {
		m.releasesByAge = m.releasesByAge[1:]
	}
}

// handleLateResponse handles an answer for a token that is no longer claiming. A token
// under which an attempt was sent has no release unless that attempt proved not run.
func (m *Model) handleLateResponse(now clock.Millis, msg ClaimResponseMsg) {
	r := m.releases[msg.Token.Seq]
	if r == nil {
		return
	}
	switch {
	case msg.Result == ResultReleased:
		r.pending = false
		r.dropAt = now + quarantineMs
		m.setTimer(r.dropAt, timerRelease, msg.Token.Seq)
	case msg.Result == ResultClaimed && !r.pending:
		m.restartRelease(now, r)
	}
}

// restartRelease asks for a release again after an earlier one was written or not needed.
func (m *Model) restartRelease(now clock.Millis, r *release) {
	r.pending, r.backoff, r.tries = true, minReleaseBackoffMs, 0
	m.sendRelease(now, r)
}
