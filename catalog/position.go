package catalog

import "lentillink.example/lentillink/store"

// position is a state of the store. Positions are ordered by era, then by revision.
type position struct{ era, revision uint64 }

func (p position) isBefore(o position) bool {
	if p.era != o.era {
		return p.era < o.era
	}
	return p.revision < o.revision
}

func newUpdate(from, to position, items []store.Item) Update {
	return Update{FromEra: from.era, From: from.revision, Era: to.era, To: to.revision, Items: items}
}

func (u *Update) from() position { return position{u.FromEra, u.From} }

func (u *Update) to() position { return position{u.Era, u.To} }

// crossesEras reports whether the update leads from one era to a later one.
func (u *Update) crossesEras() bool { return u.FromEra != u.Era }

// follows reports whether a subscriber at p can apply the update.
func (u *Update) follows(p position) bool {
	if u.crossesEras() {
		return p == u.from() || !p.isBefore(u.to())
	}
	if u.Listed && p.revision != u.From && p.revision < u.To {
		return false
	}
	return p.era == u.Era && u.From <= p.revision
}
