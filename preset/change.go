package preset

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

// Change is an operator's change to the record. Exactly one of SwitchTo and Preset is set.
type Change struct {
	ID           string       `json:"change_id"`
	Author       string       `json:"author"`
	Reason       string       `json:"reason"`
	At           clock.Millis `json:"at_ms"`
	BaseRevision uint64       `json:"base_revision"` // revision on which the change is based; 0 accepts any
	SwitchTo     string       `json:"switch_to,omitempty"`
	Preset       *Preset      `json:"preset,omitempty"` // replaces the preset of that name, or adds it
}

// Apply returns rec with c applied. It does not change rec.
func Apply(rec Record, c Change) (Record, error) {
	if c.Preset != nil && c.SwitchTo != "" {
		return rec, newError("apply", KindInvalid, "change %s: switch_to and preset are mutually exclusive", c.ID)
	}
	if c.Preset != nil {
		return Edit(rec, c)
	}
	return Switch(rec, c)
}

// Switch returns rec with the preset c.SwitchTo in force.
func Switch(rec Record, c Change) (Record, error) {
	if err := c.validate("switch", &rec); err != nil {
		return rec, err
	}
	if _, ok := rec.FindPreset(c.SwitchTo); !ok {
		return rec, newError("switch", KindNotFound, "switch_to: %q is not one of %v", c.SwitchTo, presetNames(rec.Presets))
	}
	next := nextRecord(rec, c)
	next.InForce = c.SwitchTo
	return next, nil
}

// Edit returns rec with c.Preset added, or replacing the preset of that name.
func Edit(rec Record, c Change) (Record, error) {
	if err := c.validate("edit", &rec); err != nil {
		return rec, err
	}
	if c.Preset == nil {
		return rec, newError("edit", KindInvalid, "preset: must be set")
	}
	next := nextRecord(rec, c)
	i := slices.IndexFunc(next.Presets, func(p Preset) bool { return p.Name == c.Preset.Name })
	if i < 0 {
		next.Presets = append(next.Presets, *c.Preset)
	} else {
		next.Presets[i] = *c.Preset
	}
	if err := next.Validate(); err != nil {
		return rec, err
	}
	return next, nil
}

func (c *Change) validate(op string, rec *Record) error {
	switch {
	case c.ID == "" || len(c.ID) > maxTextBytes:
		return newError(op, KindInvalid, "change_id: must have 1 to %d bytes", maxTextBytes)
	case c.Author == "" || len(c.Author) > maxTextBytes:
		return newError(op, KindInvalid, "author: must have 1 to %d bytes", maxTextBytes)
	case c.Reason == "" || len(c.Reason) > maxTextBytes:
		return newError(op, KindInvalid, "reason: must have 1 to %d bytes", maxTextBytes)
	case c.BaseRevision != 0 && c.BaseRevision != rec.Revision:
		latest := rec.LatestChange()
		return newError(op, KindConflict, "record revision is %d, but base_revision is %d: %s", rec.Revision, c.BaseRevision, latest)
	}
	if past, ok := rec.FindChange(c.ID); ok {
		return newError(op, KindConflict, "change_id %q was already used: %s", c.ID, past)
	}
	return nil
}

func nextRecord(rec Record, c Change) Record {
	next := rec
	next.Presets = slices.Clone(rec.Presets)
	next.History = append([]AppliedChange{rec.LatestChange()}, rec.History[:min(len(rec.History), MaxHistory-1)]...)
	next.Revision++
	next.Author, next.Reason, next.ChangeID, next.At = c.Author, c.Reason, c.ID, c.At
	return next
}

func presetNames(presets []Preset) []string {
	list := make([]string, len(presets))
	for i, p := range presets {
		list[i] = p.Name
	}
	return list
}
