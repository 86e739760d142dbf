package experiment

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/vm"
)

const (
	presetBoundMs   = 4 * clock.Second // an accepted change is in force within this time
	changeWithin    = 5 * clock.Second // the limit of entry.VM for an operator's change
	operatorRetryMs = 20
)

// change is one operator's change during a cell.
type change struct {
	id       string
	vm       string
	result   preset.Result
	at       clock.Millis // of the result, 0 before
	revision uint64
}

// switcher drives preset.Changers as the runtime of a VM does, and watches
// which revision each core has in force.
type switcher struct {
	cell    *cell
	changes []*change
	highest map[string]uint64 // by VM and process
	names   map[uint64]string // preset by revision
}

func newSwitcher(c *cell) *switcher {
	return &switcher{cell: c, highest: make(map[string]uint64), names: make(map[uint64]string)}
}

// start begins a change through a VM.
func (s *switcher) start(id, to string) {
	t := s.cell.tier
	n := t.byID[id]
	if n.dead {
		return
	}
	ch := &change{id: fmt.Sprintf("change-%d", len(s.changes)+1), vm: id}
	s.changes = append(s.changes, ch)
	change := preset.Change{ID: ch.id, Author: "operator", Reason: "matrix", At: t.Loop.Now(), SwitchTo: to}
	changer := preset.NewCommitter(change, n.core.Record(), t.Loop.Now()+changeWithin)
	life := n.life
	var feed func(preset.Msg)
	feed = func(msg preset.Msg) {
		if n.life != life || ch.at != 0 {
			return
		}
		if now := t.Loop.Now(); now < n.resume {
			t.Loop.At(n.resume, func() { feed(msg) })
			return
		}
		for _, cmd := range changer.Update(t.Loop.Now(), msg) {
			s.perform(n, ch, cmd, feed)
		}
		if at, ok := changer.NextWake(); ok {
			t.Loop.At(max(at, t.Loop.Now()+1), func() { feed(preset.TickMsg{}) })
		}
	}
	feed(preset.StartMsg{})
}

func (s *switcher) perform(n *tierNode, ch *change, cmd preset.Cmd, feed func(preset.Msg)) {
	t := s.cell.tier
	switch m := cmd.(type) {
	case preset.StoreCmd:
		s.cell.observe(moment{vm: n.self.ID, change: &m.Request})
		t.Store.Call(m.Request, func(r store.Reply) { feed(preset.StoreMsg{Reply: r}) })
	case preset.ResultCmd:
		ch.result, ch.at = m.Result, t.Loop.Now()
		s.cell.observe(moment{vm: n.self.ID, accepted: m.Result.Accepted == preset.Accepted})
		if m.Result.Accepted == preset.Accepted {
			s.accepted(ch)
		}
		if m.Result.Record.Revision > 0 {
			n.update(vm.PresetRecordMsg{Record: m.Result.Record})
		}
	}
}

// accepted checks after the bound that the revision is in force. VMs that a
// fault held back have the bound after its end.
func (s *switcher) accepted(ch *change) {
	t := s.cell.tier
	ch.revision = ch.result.Record.Revision
	t.Loop.After(presetBoundMs, func() { s.inForce(ch.revision, ch.at, false) })
	at := max(ch.at, s.cell.healAt()) + presetBoundMs
	t.Loop.At(at, func() { s.inForce(ch.revision, ch.at, true) })
}

func (s *switcher) inForce(revision uint64, since clock.Millis, all bool) {
	t := s.cell.tier
	for _, n := range t.nodes {
		young := clock.Millis(n.self.Incarnation)+presetBoundMs > t.Loop.Now()
		if n.dead || young || !all && s.cell.heldBack[n.self.ID] || t.Loop.Now() < n.resume+presetBoundMs && n.resume > since {
			continue
		}
		if got := s.seen(n.self.ID, n.core); got < revision {
			s.cell.check.fail(InvariantPresetInForce, "%s has revision %d in force %d ms after %d was accepted", n.self.ID, got, t.Loop.Now()-since, revision)
		}
	}
}

func (s *switcher) seen(id string, core *vm.Core) uint64 {
	_, revision := s.view(id, core)
	return revision
}

// view returns what a VM has in force, as changed by a test double.
func (s *switcher) view(id string, core *vm.Core) (string, uint64) {
	p, revision := core.Preset()
	if double := s.cell.opts.MapPreset; double != nil {
		return double(id, p.Name, revision)
	}
	return p.Name, revision
}

// observe runs after each message to a core.
func (s *switcher) observe(id string, core *vm.Core) {
	name, revision := s.view(id, core)
	key := fmt.Sprintf("%s/%d", id, s.cell.tier.byID[id].life)
	if revision < s.highest[key] {
		s.cell.check.fail(InvariantNoRevert, "%s went from revision %d to %d", id, s.highest[key], revision)
	}
	s.highest[key] = revision
	if revision == 0 {
		return // not ready before it has a record
	}
	rec := core.Record()
	if known, ok := s.names[revision]; ok && known != name || rec.Revision == revision && rec.InForce != name {
		s.cell.check.fail(InvariantOnePreset, "%s has %q in force at revision %d, others %q, record %q", id, name, revision, known, rec.InForce)
	}
	s.names[revision] = name
}

// finish checks at the end of a cell that accepted changes are kept: the store
// and every VM agree on one record that is no older.
func (s *switcher) finish() {
	t := s.cell.tier
	stored, err := preset.Decode(t.Store.entries[preset.StoreKey].Value)
	if err != nil {
		s.cell.check.fail(InvariantNoRevert, "the store holds no record: %v", err)
		return
	}
	for _, ch := range s.changes {
		if ch.result.Accepted == preset.Accepted {
			if _, ok := stored.FindChange(ch.id); !ok {
				s.cell.check.fail(InvariantNoRevert, "the accepted change %s is not in the store", ch.id)
			}
		}
		if _, ok := stored.FindChange(ch.id); ok && ch.result.Accepted == preset.NotAccepted {
			s.cell.check.fail(InvariantNoRevert, "change %s was called not accepted but is in the store", ch.id)
		}
	}
	for _, n := range t.nodes {
		if name, revision := s.view(n.self.ID, n.core); !n.dead && (revision != stored.Revision || name != stored.InForce) {
			s.cell.check.fail(InvariantPresetInForce, "at the end %s has %q, revision %d, the store %q, %d", n.self.ID, name, revision, stored.InForce, stored.Revision)
		}
	}
}
