package preset

import (
	"fmt"
	"time"

	"lentillink.example/lentillink/clock"
)

// StoreKey is the key of the record in the configuration store.
const StoreKey = "presets"

// MaxHistory is the maximum number of history entries in a record. It keeps the
// record at a few kilobytes.
const MaxHistory = 32

// Record is the document in the configuration store: all presets and which one is in force.
//
// Revision is one more than the revision of the record on which the change is
// based. Writes are a compare-and-swap on the revision of the store entry, so
// the accepted records form one chain along which Revision strictly increases.
// The two revisions are otherwise independent: the store numbers its entries by
// its own rules.
type Record struct {
	Presets  []Preset        `json:"presets"`
	InForce  string          `json:"in_force"`
	Revision uint64          `json:"revision"`
	Author   string          `json:"author"`
	Reason   string          `json:"reason"`
	ChangeID string          `json:"change_id"`
	At       clock.Millis    `json:"at_ms"`
	History  []AppliedChange `json:"history"` // newest first, excluding the latest change
}

// AppliedChange describes an applied change, an earlier one or the latest.
type AppliedChange struct {
	Revision uint64       `json:"revision"`
	ChangeID string       `json:"change_id"`
	Author   string       `json:"author"`
	Reason   string       `json:"reason"`
	At       clock.Millis `json:"at_ms"`
	InForce  string       `json:"in_force"`
}

// FindPreset returns the preset with the given name.
func (r *Record) FindPreset(name string) (Preset, bool) {
	for _, p := range r.Presets {
		if p.Name == name {
			return p, true
		}
	}
	return Preset{}, false
}

// CurrentPreset returns the preset in force. A valid record always has one.
func (r *Record) CurrentPreset() Preset {
	p, _ := r.FindPreset(r.InForce)
	return p
}

// LatestChange returns the change that produced r.
func (r *Record) LatestChange() AppliedChange {
	return AppliedChange{
		Revision: r.Revision, ChangeID: r.ChangeID, Author: r.Author,
		Reason: r.Reason, At: r.At, InForce: r.InForce,
	}
}

// FindChange returns the change with the given identifier, if it produced r or a
// record in its history.
func (r *Record) FindChange(changeID string) (AppliedChange, bool) {
	if r.ChangeID == changeID {
		return r.LatestChange(), true
	}
	for _, p := range r.History {
		if p.ChangeID == changeID {
			return p, true
		}
	}
	return AppliedChange{}, false
}

// String formats the revision, author, time, preset in force, reason and change
// identifier.
func (p AppliedChange) String() string {
	at := time.UnixMilli(int64(p.At)).UTC().Format(time.DateTime)
	return fmt.Sprintf("revision %d by %s at %s UTC put %q in force: %s (change %s)",
		p.Revision, p.Author, at, p.InForce, p.Reason, p.ChangeID)
}
