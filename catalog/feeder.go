package catalog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
)

const (
	// followersPerFeeder bounds the VMs that one VM tells of changes. One that tells
	// 64 VMs about once a second sends less than the 3 KB/s that control may take.
	followersPerFeeder = 64

	// spareFeeders is how many further VMs a follower tries if its feeder is lost.
	spareFeeders = 2

	// confirmMs is how long a feeder may take to answer a subscription: a new
	// connection, and a turn of a busy VM.
	confirmMs clock.Millis = 300

	// renewMs is how often a subscription is renewed, and lapseMs when one that is
	// not renewed ends.
	renewMs clock.Millis = 10 * clock.Second
	lapseMs clock.Millis = 25 * clock.Second

	// silentMs is how long a feeder may say nothing. It reports every
	// sharedPaceMs + waitMs at the latest, and what follows from its loss
	// must fit into the users' 3 s for a change.
	silentMs clock.Millis = 1800

	// avoidMs is how long a feeder that was lost is not asked again.
	avoidMs clock.Millis = 10 * clock.Second
)

// Member is a VM of a group that shares what it reads of the store.
type Member struct {
	ID       string
	Capacity int // of the VM, on a scale that the group shares
}

// Publishers returns the VMs that self may subscribe to, best first, and whether
// others may subscribe to self. The first is empty for the VMs that follow the
// store themselves. The strongest do so, because a large configuration leaves them
// once for each follower. All VMs with the same list agree, and no VM subscribes to
// one that ranks below it, so subscriptions never form a cycle.
func Publishers(self string, group []Member) (feeders []string, feeds bool) {
	ranked := slices.Clone(group)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String("feeder/"+b.ID), xxhash.Sum64String("feeder/"+a.ID)), cmp.Compare(a.ID, b.ID))
	})
	ids := make([]string, len(ranked))
	for i, m := range ranked {
		ids[i] = m.ID
	}
	roots := (len(ids) + followersPerFeeder - 1) / followersPerFeeder
	rank := slices.Index(ids, self)
	if rank < 0 || len(ids) < 2 {
		return nil, false
	}
	feeds = rank < roots+spareFeeders
	if rank < roots {
		return nil, feeds
	}
	first := int(xxhash.Sum64String(self) % uint64(roots))
	feeders = append(slices.Clone(ids[first:roots]), ids[:first]...)
	feeders = feeders[:min(len(feeders), 1+spareFeeders)]
	return append(feeders, ids[roots:min(rank, roots+spareFeeders)]...), feeds
}

// Subscribe asks a VM for the changes after a revision.
type Subscribe struct{ After uint64 }

// PeerBody marks messages between VMs.
func (Subscribe) PeerBody() {}

// feed is where this VM's changes come from while another VM feeds it.
type feed struct {
	candidates []string
	feeds      bool // other VMs may subscribe to this one
	avoided    map[string]clock.Millis
	feeder     string       // it has confirmed; "" while the store is followed here
	asked      string       // it was asked and has not confirmed
	askedAt    clock.Millis // last subscription
	heardAt    clock.Millis // last update
}

// waits reports whether a feeder makes a watch of this VM's own needless for now.
func (f *feed) waits(now clock.Millis) bool {
	return f.feeder != "" || f.asked != "" && now < f.askedAt+confirmMs
}

// best returns the first candidate that is not avoided.
func (f *feed) best(now clock.Millis) string {
	for _, vm := range f.candidates {
		if now >= f.avoided[vm] {
			return vm
		}
	}
	return ""
}

// setCandidates takes over the VMs that may feed this one. A feeder that is no
// longer among them is heard until another one has confirmed, or it falls silent.
func (m *Model) setCandidates(now clock.Millis, msg PublishersMsg, cmds []Cmd) []Cmd {
	f := &m.feed
	f.candidates, f.feeds = msg.VMs, msg.MayPublish
	if f.asked != "" && !slices.Contains(f.candidates, f.asked) {
		f.asked = ""
	}
	if f.feeder != "" && len(f.candidates) == 0 {
		return m.feederLost(now, f.feeder, cmds)
	}
	return cmds
}

// feederLost turns to another feeder, or back to the store. What the lost one
// knew and did not pass on is then found by a whole, fresh read. This VM's own
// followers stay: they would all turn to the next VM, which is about to do the same.
func (m *Model) feederLost(now clock.Millis, vm string, cmds []Cmd) []Cmd {
	f := &m.feed
	if vm != f.feeder && vm != f.asked {
		return cmds
	}
	f.avoided[vm] = now + avoidMs
	f.asked = ""
	if vm != f.feeder {
		return cmds
	}
	f.feeder = ""
	// Another feeder that knows what this VM has missed makes the read needless.
	m.relist, m.fresh, m.nextCall = true, true, now
	if f.best(now) != "" {
		m.nextCall = now + confirmMs
	}
	return append(cmds, PublisherCmd{})
}

// subscribe asks the best candidate, and looks after the subscription.
func (m *Model) subscribe(now clock.Millis, cmds []Cmd) []Cmd {
	f := &m.feed
	switch {
	case f.feeder != "" && now >= f.heardAt+silentMs:
		cmds = m.feederLost(now, f.feeder, cmds)
	case f.asked != "" && now >= f.askedAt+confirmMs:
		cmds = m.feederLost(now, f.asked, cmds)
	}
	if !m.everHeard {
		return cmds // a subscription starts from a revision
	}
	best := f.best(now)
	if best == "" || f.asked != "" || best == f.feeder && now < f.askedAt+renewMs {
		return cmds
	}
	if best != f.feeder {
		f.asked = best
	}
	f.askedAt = now
	return append(cmds, SubscribeCmd{To: best, Subscribe: Subscribe{After: m.revision}})
}

// updated takes what a feeder says.
func (m *Model) updated(now clock.Millis, from string, u Update, cmds []Cmd) []Cmd {
	f := &m.feed
	if from != f.feeder && from != f.asked {
		return cmds
	}
	if u.StoreLost {
		return m.feederLost(now, from, cmds)
	}
	if from == f.asked {
		f.feeder, f.asked = from, ""
		cmds = append(cmds, PublisherCmd{VM: from})
	}
	f.heardAt = now
	cmds = m.contact(now, cmds)
	if u.From > m.revision {
		// Changes before those of the update are missing here. The update is not
		// applied, so that all later ones show the gap too, until a read has closed it.
		if !m.relist {
			m.relist, m.fresh, m.nextCall = true, true, min(m.nextCall, now)
		}
		return cmds
	}
	m.relist, m.backoff = false, 0
	return m.apply(now, u.Items, u.To, cmds)
}

// feedWake returns when the feed needs a tick.
func (m *Model) feedWake() (clock.Millis, bool) {
	f := &m.feed
	switch {
	case f.asked != "":
		return f.askedAt + confirmMs, true
	case f.feeder != "":
		at := min(f.heardAt+silentMs, f.askedAt+renewMs)
		for _, vm := range f.candidates {
			if vm == f.feeder {
				break
			}
			at = min(at, f.avoided[vm])
		}
		return at, true
	}
	return 0, false
}
