package order

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

// release is the release of a token under which no attempt was executed and no more
// will be sent. While pending, it is retried until an owner confirms the write.
type release struct {
	token    Token
	id       string
	hash     Hash
	issuedAt clock.Millis
	pending  bool
	retryAt  clock.Millis
	backoff  clock.Millis
	dropAt   clock.Millis // used while not pending
	tries    int
	repeat   bool // send once more at the end of the quarantine
}

const (
	minReleaseBackoffMs clock.Millis = 500
	maxReleaseBackoffMs              = 30 * clock.Second
	// A delayed or duplicate claim request can still be written after its token was
	// released. The confirmation of that write triggers another release. Since the
	// confirmation can be lost too, one more release follows after this time.
	quarantineMs = 15 * clock.Second
)

// trackRelease keeps the token of a closed submission. A pending release is kept
// until it is confirmed or its order id is older than MaxIDAge. maxReleases bounds
// the memory: above it the oldest release is dropped and its claim stays, so that
// order id stays refused but is never executed twice.
func (m *Model) trackRelease(now clock.Millis, o *submission, pending, repeat bool) {
	seq := o.token.Seq
	r := &release{
		token: o.token, id: o.msg.ID, hash: o.hash, issuedAt: o.issuedAt,
		pending: pending, repeat: repeat, backoff: minReleaseBackoffMs, dropAt: now + quarantineMs,
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

// handleLateResponse handles a response for a token that is no longer in
// stateClaiming. A token under which an attempt was sent has no release unless that
// attempt was proven not to have executed.
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

// restartRelease makes a release pending again, after an earlier one was written or
// was not needed.
func (m *Model) restartRelease(now clock.Millis, r *release) {
	r.pending, r.backoff, r.tries = true, minReleaseBackoffMs, 0
	m.sendRelease(now, r)
}
