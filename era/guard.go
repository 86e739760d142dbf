package era

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/roster"
)

const (
	// minSettleMs is the time within which operators and upstreams have written again what
	// the store has lost, and the entries of upstreams that left have lapsed. The first takes
	// about 2 s, the second three heartbeats of 1.2 s.
	minSettleMs = 4 * clock.Second

	// maxSettleMs bounds what a large fleet adds to it.
	maxSettleMs = 15 * clock.Second

	// noticeMs is the time within which a running VM has noticed a new era.
	noticeMs = 2 * clock.Second

	// maxAwaitMs bounds the time for which a VM that starts waits for what another VM has in
	// force. Only a wrong entry names a version that nobody writes again.
	maxAwaitMs = clock.Minute

	// The first VM writes the record after firstWriteMs and each next one writeStepMs later,
	// when it would have seen the record. The VMs after maxRankMs spread over maxRankMs more.
	firstWriteMs              = clock.Second
	writeStepMs  clock.Millis = 500
	maxRankMs                 = 10 * clock.Second
	minBackoffMs              = clock.Second
	maxBackoffMs              = 10 * clock.Second
)

// Guard decides for one VM. It is a state machine without I/O.
type Guard struct {
	rng       *rand.Rand
	era       uint64 // newest; 0 if the store states none
	record    Record
	readAt    clock.Millis // beginning of the last read
	inContact bool         // no gap since readAt
	gapAt     clock.Millis // end of the last gap, or of the era before, at the earliest
	coveredMs clock.Millis // time without a gap in this era up to reads
	stored    Facts        // in the store
	known     Facts        // highest that were ever read
	vms       map[string]Facts
	fleet     FleetMsg
	writing   bool
	writeAt   clock.Millis // 0 if no write is due
	backoff   clock.Millis
}

// New returns a Guard. The seed spreads the writes of VMs that act together.
func New(seed uint64) *Guard {
	return &Guard{rng: rand.New(rand.NewPCG(seed, seed)), vms: make(map[string]Facts)}
}

// Update applies msg at now and returns the writes to make.
func (g *Guard) Update(now clock.Millis, msg Msg) []WriteCmd {
	switch m := msg.(type) {
	case NewestMsg:
		if m.Era > g.era {
			g.era, g.coveredMs, g.inContact, g.gapAt, g.writeAt = m.Era, 0, false, now, 0
		}
	case ReadMsg:
		g.recordRead(m)
	case LostMsg:
		g.inContact, g.gapAt = false, now
	case ConfigMsg:
		g.stored.ConfigVersion = m.Version
	case PresetMsg:
		g.stored.PresetRevision = m.Revision
	case VMMsg:
		g.vms[m.ID] = m.Facts
	case VMRemovedMsg:
		delete(g.vms, m.ID)
	case RecordMsg:
		g.record = m.Record
	case FleetMsg:
		g.fleet = m
	case WrittenMsg:
		g.record, g.writing, g.backoff = m.Record, false, 0
	case FailedMsg:
		g.writing = false
		g.backoff = min(max(2*g.backoff, minBackoffMs), maxBackoffMs)
		g.writeAt = now + g.backoff/2 + clock.Millis(g.rng.Int64N(int64(g.backoff/2)+1))
	case TickMsg:
	}
	g.known = g.known.max(g.stored)
	return g.write(now)
}

func (g *Guard) recordRead(m ReadMsg) {
	if m.BegunAt <= g.readAt {
		return
	}
	from := m.BegunAt
	switch {
	case g.inContact:
		from = g.readAt
	case m.ContactSince > 0:
		from = min(max(m.ContactSince, g.gapAt), m.BegunAt)
	}
	g.coveredMs += m.BegunAt - from
	g.readAt, g.inContact = m.BegunAt, true
}

// write starts the write of the record when it is due.
func (g *Guard) write(now clock.Millis) []WriteCmd {
	if g.writing || g.fleet.VMs == 0 || g.isRecorded() || !g.isSettled() {
		g.writeAt = 0
		return nil
	}
	if g.writeAt == 0 {
		delay := clock.Millis(g.fleet.Rank) * writeStepMs
		if delay > maxRankMs {
			delay = maxRankMs + clock.Millis(g.rng.Int64N(int64(maxRankMs)))
		}
		g.writeAt = now + firstWriteMs + delay
	}
	if now < g.writeAt {
		return nil
	}
	g.writing, g.writeAt = true, 0
	return []WriteCmd{{Record: Record{Era: g.era, VMs: g.fleet.VMs}}}
}

// isSettled reports whether the store holds again what it had lost, as far as this VM and the
// entries of the others tell.
func (g *Guard) isSettled() bool {
	return g.coveredMs >= g.settleMs() && !g.stored.isBehind(g.known) && !g.stored.isBehind(g.ofFleet())
}

// settleMs is how long the store must have been read since the era began. Within that time the
// VMs have written their entries.
func (g *Guard) settleMs() clock.Millis {
	return min(max(minSettleMs, noticeMs+roster.ReturnSpread(max(g.record.VMs, len(g.vms)))), maxSettleMs)
}
