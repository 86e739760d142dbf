package preset_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
)

// restoreFleet is the restorers of a fleet and the record in their store, in virtual time.
type restoreFleet struct {
	t        *testing.T
	now      clock.Millis
	vms      []*preset.Restorer
	cut      map[int]bool // VMs that do not reach the store
	lostOnce bool         // the next swap takes effect without a reply
	entry    store.Entry
	reads    int
	swaps    int
	restored int
}

func record(t *testing.T, revision uint64, changeID string) preset.Record {
	t.Helper()
	rec := preset.GatewayDefault()
	rec.Revision, rec.ChangeID, rec.Author, rec.Reason, rec.At = revision, changeID, "aino", "open day", 1
	return rec
}

func (f *restoreFleet) write(rec preset.Record) {
	data, err := preset.Encode(rec)
	if err != nil {
		f.t.Fatal(err)
	}
	f.entry = store.Entry{Key: preset.StoreKey, Value: data, Revision: f.entry.Revision + 1}
}

func (f *restoreFleet) storedRevision() uint64 {
	if f.entry.Revision == 0 {
		return 0
	}
	rec, err := preset.Decode(f.entry.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return rec.Revision
}

// tellStored sends all VMs that reach the store what it holds, as its watch does.
func (f *restoreFleet) tellStored() {
	for i := range f.vms {
		if !f.cut[i] {
			f.update(i, preset.StoredMsg{Revision: f.storedRevision(), Rank: i})
		}
	}
}

func (f *restoreFleet) update(i int, msg preset.RestorerMsg) {
	for _, cmd := range f.vms[i].Update(f.now, msg) {
		switch c := cmd.(type) {
		case preset.RestoreCallCmd:
			f.update(i, preset.RestoreReplyMsg{Reply: f.call(i, c.Request)})
		case preset.RestoredCmd:
			f.restored++
		}
	}
}

func (f *restoreFleet) call(i int, req store.Request) store.Reply {
	reply := store.Reply{Tag: req.Tag, Op: req.Op, Entry: f.entry}
	switch {
	case f.cut[i]:
		reply.Kind = store.KindUnavailable
	case req.Op == store.OpGet:
		f.reads++
	case req.Revision != f.entry.Revision:
		reply.Kind = store.KindConflict
	default:
		f.swaps++
		f.entry = store.Entry{Key: req.Key, Value: req.Value, Revision: f.entry.Revision + 1}
		reply.Entry = f.entry
		if f.lostOnce {
			f.lostOnce, reply.Kind = false, store.KindUnknown
		}
	}
	return reply
}

func (f *restoreFleet) advance(ms clock.Millis) {
	for end := f.now + ms; f.now < end; f.now++ {
		before := f.swaps
		for i, r := range f.vms {
			if at, ok := r.NextWake(); ok && at <= f.now {
				f.update(i, preset.RestoreTickMsg{})
			}
		}
		if f.swaps != before {
			f.tellStored()
		}
	}
}

// TestRestorer guards against a preset change that goes back with the store, against a fleet
// that writes it several times, and against one that overwrites a later change.
func TestRestorer(t *testing.T) {
	tests := []struct {
		name         string
		known        []uint64 // revision that each VM knows
		stored       uint64   // revision in the older copy, 0 for none
		fault        func(f *restoreFleet)
		wantStored   uint64
		wantSwaps    int
		wantRestored int
	}{
		{"nothing lost", []uint64{5, 5, 5}, 5, nil, 5, 0, 0},
		{"change lost", []uint64{5, 5, 5}, 4, nil, 5, 1, 1},
		{"record lost", []uint64{5, 5, 5}, 0, nil, 5, 1, 1},
		{"only one VM knows the change", []uint64{4, 4, 5}, 4, nil, 5, 1, 1},
		{"first VM knows an older one", []uint64{4, 5, 6}, 3, nil, 6, 3, 3},
		{"first VM cut from the store", []uint64{5, 5, 5}, 4, func(f *restoreFleet) { f.cut[0] = true }, 5, 1, 1},
		{"no VM reaches the store at first", []uint64{5, 5, 5}, 4, func(f *restoreFleet) {
			f.cut = map[int]bool{0: true, 1: true, 2: true}
			f.advance(8000)
			f.cut = map[int]bool{}
		}, 5, 1, 1},
		{"reply of the write lost", []uint64{5, 5, 5}, 4, func(f *restoreFleet) { f.lostOnce = true }, 5, 1, 0},
		{"operator changes it meanwhile", []uint64{5, 5, 5}, 4, func(f *restoreFleet) {
			f.write(record(f.t, 6, "c-6"))
		}, 6, 0, 0},
		{"no record yet", []uint64{0, 0, 0}, 0, nil, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &restoreFleet{t: t, now: 1000, cut: make(map[int]bool)}
			for i, revision := range tt.known {
				f.vms = append(f.vms, preset.NewRestorer(uint64(i)))
				f.update(i, preset.StoredMsg{Revision: revision, Rank: i})
				if revision > 0 {
					f.update(i, preset.KnownMsg{Record: record(t, revision, fmt.Sprint("c-", revision))})
				}
			}
			if tt.stored > 0 {
				f.write(record(t, tt.stored, fmt.Sprint("c-", tt.stored)))
			}
			f.tellStored()
			if tt.fault != nil {
				tt.fault(f)
			}
			f.advance(30_000)
			if got := f.storedRevision(); got != tt.wantStored {
				t.Errorf("got revision %d in the store, want %d", got, tt.wantStored)
			}
			if f.swaps != tt.wantSwaps || f.restored != tt.wantRestored {
				t.Errorf("got %d writes and %d reported, want %d and %d", f.swaps, f.restored, tt.wantSwaps, tt.wantRestored)
			}
		})
	}
}

// TestRestorerUnseenChange guards against losing a change that this VM has committed but not
// yet seen in the store's history when the store came back.
func TestRestorerUnseenChange(t *testing.T) {
	f := &restoreFleet{t: t, now: 1000, cut: make(map[int]bool), vms: []*preset.Restorer{preset.NewRestorer(1)}}
	f.write(record(t, 4, "c-4"))
	f.tellStored()
	f.update(0, preset.KnownMsg{Record: record(t, 5, "c-5")})
	f.advance(3000)
	if f.reads != 0 {
		t.Errorf("got %d reads without a return of the store, want none", f.reads)
	}
	f.update(0, preset.StoreReturnedMsg{})
	f.advance(3000)
	if got, want := f.storedRevision(), uint64(5); got != want {
		t.Errorf("got revision %d in the store, want %d", got, want)
	}
}

// TestRestorerSpread guards against a large fleet that reads the record at once.
func TestRestorerSpread(t *testing.T) {
	f := &restoreFleet{t: t, now: 1000, cut: make(map[int]bool)}
	for i := range 1600 {
		f.vms = append(f.vms, preset.NewRestorer(uint64(i)))
		f.update(i, preset.KnownMsg{Record: record(t, 5, "c-5")})
	}
	f.write(record(t, 4, "c-4"))
	f.tellStored()
	f.advance(30_000)
	if f.reads != 1 || f.swaps != 1 {
		t.Errorf("got %d reads and %d writes, want one of each", f.reads, f.swaps)
	}
}
