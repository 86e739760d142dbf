package experiment

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/vm"
)

const (
	presetLimitMs   = 4 * clock.Second // an accepted change must be in force within this time
	changeTimeout   = 5 * clock.Second // as the timeout of entry.VM for an operator's change
	operatorRetryMs = 20
)

// change is one preset change that an operator requests during a cell.
type change struct {
	id        string
	vm        string
	result    preset.Result
	decidedAt clock.Millis // time of the result, 0 before it
	revision  uint64
}

// presetDriver drives a preset.Committer per change, as the runtime of a VM does,
// and checks which revision each core has in force.
type presetDriver struct {
	cell             *cell
	changes          []*change
	highestRevisions map[string]uint64 // by VM and generation
	presetNames      map[uint64]string // preset name by revision
}

func newPresetDriver(c *cell) *presetDriver {
	return &presetDriver{cell: c, highestRevisions: make(map[string]uint64), presetNames: make(map[uint64]string)}
}

// start begins a preset change through a VM.
func (s *presetDriver) start(id, presetName string) {
	t := s.cell.tier
	n := t.byID[id]
	if n.dead {
		return
	}
	ch := &change{id: fmt.Sprintf("change-%d", len(s.changes)+1), vm: id}
	s.changes = append(s.changes, ch)
	change := preset.Change{ID: ch.id, Author: "operator", Reason: "matrix", At: t.Loop.Now(), SwitchTo: presetName}
	committer := preset.NewCommitter(change, n.core.Record(), t.Loop.Now()+changeTimeout)
	generation := n.generation
	var update func(preset.Msg)
	update = func(msg preset.Msg) {
		if n.generation != generation || ch.decidedAt != 0 {
			return
		}
		if now := t.Loop.Now(); now < n.pausedUntil {
			t.Loop.At(n.pausedUntil, func() { update(msg) })
			return
		}
		for _, cmd := range committer.Update(t.Loop.Now(), msg) {
			s.perform(n, ch, cmd, update)
		}
		if at, ok := committer.NextWake(); ok {
			t.Loop.At(max(at, t.Loop.Now()+1), func() { update(preset.TickMsg{}) })
		}
	}
	update(preset.StartMsg{})
}

func (s *presetDriver) perform(n *tierVM, ch *change, cmd preset.Cmd, update func(preset.Msg)) {
	t := s.cell.tier
	switch m := cmd.(type) {
	case preset.StoreCmd:
		s.cell.observe(observation{vm: n.self.ID, changeRequest: &m.Request})
		t.Store.Call(m.Request, func(r store.Reply) { update(preset.StoreMsg{Reply: r}) })
	case preset.ResultCmd:
		ch.result, ch.decidedAt = m.Result, t.Loop.Now()
		s.cell.observe(observation{vm: n.self.ID, changeAccepted: m.Result.Accepted == preset.Accepted})
		if m.Result.Accepted == preset.Accepted {
			s.scheduleChecks(ch)
		}
		if m.Result.Record.Revision > 0 {
			n.update(vm.PresetRecordMsg{Record: m.Result.Record})
		}
	}
}

// scheduleChecks checks after presetLimitMs that the accepted revision is in
// force. For VMs that a fault delays, the limit starts when the fault ends.
func (s *presetDriver) scheduleChecks(ch *change) {
	t := s.cell.tier
	ch.revision = ch.result.Record.Revision
	t.Loop.After(presetLimitMs, func() { s.checkInForce(ch.revision, ch.decidedAt, false) })
	at := max(ch.decidedAt, s.cell.healAt()) + presetLimitMs
	t.Loop.At(at, func() { s.checkInForce(ch.revision, ch.decidedAt, true) })
}

func (s *presetDriver) checkInForce(revision uint64, since clock.Millis, all bool) {
	t := s.cell.tier
	for _, n := range t.vms {
		recentlyStarted := clock.Millis(n.self.Incarnation)+presetLimitMs > t.Loop.Now()
		if n.dead || recentlyStarted || !all && s.cell.delayedVMs[n.self.ID] || t.Loop.Now() < n.pausedUntil+presetLimitMs && n.pausedUntil > since {
			continue
		}
		if got := s.revisionInForce(n.self.ID, n.core); got < revision {
			s.cell.check.fail(InvariantPresetInForce, "%s has revision %d in force %d ms after revision %d was accepted", n.self.ID, got, t.Loop.Now()-since, revision)
		}
	}
}

func (s *presetDriver) revisionInForce(id string, core *vm.Core) uint64 {
	_, revision := s.presetInForce(id, core)
	return revision
}

// presetInForce returns the preset and revision in force on a VM, as replaced by CellOptions.MapPreset.
func (s *presetDriver) presetInForce(id string, core *vm.Core) (string, uint64) {
	p, revision := core.Preset()
	if mapPreset := s.cell.opts.MapPreset; mapPreset != nil {
		return mapPreset(id, p.Name, revision)
	}
	return p.Name, revision
}

// checkRevision checks the revision in force after each message to a core.
func (s *presetDriver) checkRevision(id string, core *vm.Core) {
	name, revision := s.presetInForce(id, core)
	key := fmt.Sprintf("%s/%d", id, s.cell.tier.byID[id].generation)
	if revision < s.highestRevisions[key] {
		s.cell.check.fail(InvariantNoRevert, "%s reverted from revision %d to %d", id, s.highestRevisions[key], revision)
	}
	s.highestRevisions[key] = revision
	if revision == 0 {
		return // a VM without a record is not ready
	}
	rec := core.Record()
	if known, ok := s.presetNames[revision]; ok && known != name || rec.Revision == revision && rec.InForce != name {
		s.cell.check.fail(InvariantOnePreset, "%s has %q in force at revision %d, another VM %q, the record %q", id, name, revision, known, rec.InForce)
	}
	s.presetNames[revision] = name
}

// finish checks at the end of a cell that no accepted change was lost: the store
// holds every accepted change, and every VM has the stored record in force.
func (s *presetDriver) finish() {
	t := s.cell.tier
	stored, err := preset.Decode(t.Store.entries[preset.StoreKey].Value)
	if err != nil {
		s.cell.check.fail(InvariantNoRevert, "the store holds no valid preset record: %v", err)
		return
	}
	for _, ch := range s.changes {
		if ch.result.Accepted == preset.Accepted {
			if _, ok := stored.FindChange(ch.id); !ok {
				s.cell.check.fail(InvariantNoRevert, "the accepted change %s is not in the store", ch.id)
			}
		}
		if _, ok := stored.FindChange(ch.id); ok && ch.result.Accepted == preset.NotAccepted {
			s.cell.check.fail(InvariantNoRevert, "change %s was reported as not accepted but is in the store", ch.id)
		}
	}
	for _, n := range t.vms {
		if name, revision := s.presetInForce(n.self.ID, n.core); !n.dead && (revision != stored.Revision || name != stored.InForce) {
			s.cell.check.fail(InvariantPresetInForce, "at the end %s has preset %q at revision %d in force, the store %q at revision %d", n.self.ID, name, revision, stored.InForce, stored.Revision)
		}
	}
}
