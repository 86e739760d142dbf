package era_test

import (
	"testing"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/era"
	"lentillink.example/lentillink/roster"
)

// step is a message at a time.
type step struct {
	at  clock.Millis
	msg era.Msg
}

// reads returns reads that begin every 500 ms in a span.
func reads(from, to clock.Millis) []step {
	var out []step
	for at := from; at <= to; at += 500 {
		out = append(out, step{at, era.ReadMsg{BegunAt: at}})
	}
	return out
}

func config(version uint64) era.Msg { return era.ConfigMsg{Version: version} }

func entry(version, revision uint64) era.Msg {
	return era.VMMsg{ID: "vm-1", Facts: era.Facts{ConfigVersion: version, PresetRevision: revision}}
}

// TestGuardWait guards against a VM that starts and uses a configuration, a preset or an
// upstream that an older copy of the store brought back, and against one that waits for ever.
func TestGuardWait(t *testing.T) {
	record := func(n uint64) step { return step{1000, era.RecordMsg{Record: era.Record{Era: n}}} }
	tests := []struct {
		name  string
		steps [][]step
		want  era.Wait
	}{
		{"store without eras", [][]step{{{1000, config(3)}}, reads(1000, 1000)}, era.WaitNone},
		{"era is recorded", [][]step{{{1000, era.NewestMsg{Era: 2}}, record(2), {1000, config(3)}}, reads(1000, 1000)}, era.WaitNone},
		{"no record", [][]step{{{1000, era.NewestMsg{Era: 1}}, {1000, config(3)}}, reads(1000, 2000)}, era.WaitEra},
		{"record of the era before", [][]step{{{1000, era.NewestMsg{Era: 2}}, record(1), {1000, config(3)}}, reads(1000, 4500)}, era.WaitEra},
		{"record of a later era", [][]step{{{1000, era.NewestMsg{Era: 2}}, record(3), {1000, config(3)}}, reads(1000, 4500)}, era.WaitEra},
		{"record is gone", [][]step{{{1000, era.NewestMsg{Era: 2}}, record(2), record(0), {1000, config(3)}}, reads(1000, 4500)}, era.WaitEra},
		{"nobody knows better", [][]step{{{1000, era.NewestMsg{Era: 2}}, record(1), {1000, config(3)}}, reads(1000, 5000)}, era.WaitNone},
		{"gap in the reads", [][]step{{{1000, era.NewestMsg{Era: 2}}, {1000, config(3)}}, reads(1000, 3000), {{3100, era.LostMsg{}}}, reads(9000, 10_500)}, era.WaitEra},
		{"long enough around a gap", [][]step{{{1000, era.NewestMsg{Era: 2}}, {1000, config(3)}}, reads(1000, 3000), {{3100, era.LostMsg{}}}, reads(9000, 11_000)}, era.WaitNone},
		{"a read that began before the gap", [][]step{{{1000, era.NewestMsg{Era: 2}}}, reads(1000, 3000), {{3100, era.LostMsg{}}, {9000, era.ReadMsg{BegunAt: 3000}}}, reads(9000, 10_500)}, era.WaitEra},
		{"long list", [][]step{{{1000, era.NewestMsg{Era: 2}}, {9000, era.ReadMsg{BegunAt: 5000, ContactSince: 1000}}}}, era.WaitNone},
		{"short list", [][]step{{{1000, era.NewestMsg{Era: 2}}, {9000, era.ReadMsg{BegunAt: 4900, ContactSince: 1000}}}}, era.WaitEra},
		{"gap in a long list", [][]step{{{1000, era.NewestMsg{Era: 2}}, {3000, era.LostMsg{}}, {9000, era.ReadMsg{BegunAt: 6900, ContactSince: 1000}}}}, era.WaitEra},
		{"return in a long list", [][]step{{{1000, era.NewestMsg{Era: 2}}, {3000, era.NewestMsg{Era: 3}}, {9000, era.ReadMsg{BegunAt: 6900, ContactSince: 1000}}}}, era.WaitEra},
		{"read from before the contact", [][]step{{{1000, era.NewestMsg{Era: 2}}, {9000, era.ReadMsg{BegunAt: 900, ContactSince: 1000}}}, reads(1000, 4500), {{4900, era.ReadMsg{BegunAt: 4900}}}}, era.WaitNone},
		{"second return", [][]step{{{1000, era.NewestMsg{Era: 2}}}, reads(1000, 4500), {{4600, era.NewestMsg{Era: 3}}}, reads(5000, 8500)}, era.WaitEra},
		{"return after the record", [][]step{{{1000, era.NewestMsg{Era: 2}}, record(2), {4600, era.NewestMsg{Era: 3}}}, reads(5000, 5000)}, era.WaitEra},
		{"large fleet", [][]step{{{1000, era.NewestMsg{Era: 2}}, {1000, era.RecordMsg{Record: era.Record{Era: 1, VMs: 1600}}}}, reads(1000, 9000)}, era.WaitEra},
		{"large fleet, long enough", [][]step{{{1000, era.NewestMsg{Era: 2}}, {1000, era.RecordMsg{Record: era.Record{Era: 1, VMs: 1600}}}}, reads(1000, 9500)}, era.WaitNone},
		{"odd size of the fleet", [][]step{{{1000, era.NewestMsg{Era: 2}}, {1000, era.RecordMsg{Record: era.Record{Era: 1, VMs: 1_000_000}}}}, reads(1000, 16_000)}, era.WaitNone},
		{"newer configuration elsewhere", [][]step{{{1000, era.NewestMsg{Era: 2}}, record(2), {1000, config(3)}, {1000, entry(5, 0)}}, reads(1000, 60_000)}, era.WaitVersion},
		{"newer preset elsewhere", [][]step{{{1000, era.NewestMsg{Era: 2}}, record(2), {1000, entry(0, 4)}, {1000, era.PresetMsg{Revision: 3}}}, reads(1000, 60_000)}, era.WaitVersion},
		{"written again", [][]step{{{1000, era.NewestMsg{Era: 2}}, record(2), {1000, config(3)}, {1000, entry(5, 0)}, {3000, config(5)}}, reads(1000, 1000)}, era.WaitNone},
		{"the other VM is gone", [][]step{{{1000, era.NewestMsg{Era: 2}}, record(2), {1000, config(3)}, {1000, entry(5, 0)}, {2000, era.VMRemovedMsg{ID: "vm-1"}}}, reads(1000, 1000)}, era.WaitNone},
		{"wrong entry", [][]step{{{1000, era.NewestMsg{Era: 2}}, record(2), {1000, entry(1<<50, 0)}}, reads(1000, 61_000)}, era.WaitNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := era.New(1)
			for _, steps := range tt.steps {
				for _, s := range steps {
					g.Update(s.at, s.msg)
				}
			}
			if got := g.Wait(); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestGuardNeverEarly checks, over drawn series of returns, gaps and reads, that an era which
// nobody recorded is not used before the store was read for long enough in it.
func TestGuardNeverEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := era.New(1)
		now, newest, recorded := clock.Millis(1000), uint64(1), uint64(0)
		readSince, lastRead, gapAt := clock.Millis(0), clock.Millis(0), now
		g.Update(now, era.NewestMsg{Era: newest})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(1, 1500).Draw(t, "ms"))
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				newest++
				g.Update(now, era.NewestMsg{Era: newest})
				readSince, lastRead, gapAt = 0, 0, now
			case 1:
				g.Update(now, era.LostMsg{})
				lastRead, gapAt = 0, now
			case 2:
				recorded = rapid.Uint64Range(0, newest+1).Draw(t, "record")
				g.Update(now, era.RecordMsg{Record: era.Record{Era: recorded}})
			default:
				since := clock.Millis(rapid.IntRange(0, int(now)).Draw(t, "contact since"))
				g.Update(now, era.ReadMsg{BegunAt: now, ContactSince: since})
				if lastRead > 0 {
					readSince += now - lastRead
				} else if since > 0 {
					readSince += now - max(since, gapAt)
				}
				lastRead = now
			}
			if at, ok := g.SettlesAt(); ok {
				early, due := *g, *g
				early.Update(at, era.ReadMsg{BegunAt: at - 1})
				due.Update(at, era.ReadMsg{BegunAt: at})
				if early.Wait() != era.WaitEra || due.Wait() != era.WaitNone {
					t.Fatalf("got waits %q and %q with reads just before and at %d, want %q and none", early.Wait(), due.Wait(), at, era.WaitEra)
				}
			} else if g.Wait() == era.WaitEra && lastRead > 0 {
				t.Fatalf("got no time at which the era settles, want one in contact with the store")
			}
			if used := g.Wait() == era.WaitNone; used != (recorded == newest || readSince >= 4000) {
				t.Fatalf("era %d, recorded %d, read for %d ms: got use %t", newest, recorded, readSince, used)
			}
		}
	})
}

// recordFleet is the guards of a fleet and the record in their store, in virtual time.
type recordFleet struct {
	now    clock.Millis
	vms    []*era.Guard
	record era.Record
	writes int
	fail   func(vm int) bool
}

func (f *recordFleet) update(i int, msg era.Msg) {
	for _, cmd := range f.vms[i].Update(f.now, msg) {
		f.writes++
		if f.fail != nil && f.fail(i) {
			f.update(i, era.FailedMsg{})
			continue
		}
		f.record = cmd.Record
		f.update(i, era.WrittenMsg(cmd))
	}
}

func (f *recordFleet) advance(ms clock.Millis) {
	for end := f.now + ms; f.now < end; f.now += 100 {
		for i, g := range f.vms {
			if f.now%400 == 0 {
				f.update(i, era.RecordMsg{Record: f.record})
				f.update(i, era.ReadMsg{BegunAt: f.now})
			}
			if at, ok := g.NextWake(); ok && at <= f.now {
				f.update(i, era.TickMsg{})
			}
		}
	}
}

// TestGuardRecord guards against an era that is never recorded, one that is recorded before
// what was lost is written again, and a fleet that writes the record many times.
func TestGuardRecord(t *testing.T) {
	tests := []struct {
		name       string
		vms        int
		stored     uint64 // version that the store has after the return; 5 is in force
		newerEntry bool   // another VM has version 6 in force
		fail       func(vm int) bool
		wantEra    uint64
		maxWrites  int
	}{
		{"one VM", 1, 5, false, nil, 2, 1},
		{"small fleet", 60, 5, false, nil, 2, 2},
		{"large fleet", 1600, 5, false, nil, 2, 4},
		{"configuration still lost", 60, 3, false, nil, 1, 0},
		{"another VM knows a newer one", 60, 5, true, nil, 1, 0},
		{"first VMs cut from the store", 60, 5, false, func(vm int) bool { return vm < 3 }, 2, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &recordFleet{now: 1000, record: era.Record{Era: 1, VMs: tt.vms}, fail: tt.fail}
			for i := range tt.vms {
				f.vms = append(f.vms, era.New(uint64(i)))
				f.update(i, era.NewestMsg{Era: 1})
				f.update(i, era.RecordMsg{Record: f.record})
				f.update(i, era.FleetMsg{VMs: tt.vms, Rank: i})
				f.update(i, config(5))
			}
			f.advance(5000)
			if f.writes != 0 {
				t.Fatalf("got %d writes in a recorded era, want none", f.writes)
			}
			for i := range f.vms {
				f.update(i, era.NewestMsg{Era: 2})
				f.update(i, config(tt.stored))
				if tt.newerEntry {
					f.update(i, entry(6, 0))
				}
			}
			f.advance(3900)
			if f.writes != 0 {
				t.Errorf("got %d writes before the era can be settled, want none", f.writes)
			}
			f.advance(30_000)
			if f.record.Era != tt.wantEra || f.writes > tt.maxWrites {
				t.Errorf("got era %d recorded with %d writes, want era %d with at most %d", f.record.Era, f.writes, tt.wantEra, tt.maxWrites)
			}
		})
	}
}

// TestGuardCoversEntries checks that the time for which a VM that starts reads the store
// covers the time over which the others write their entries.
func TestGuardCoversEntries(t *testing.T) {
	for _, vms := range []int{1, 63, 195, 1600, 3000} {
		g := era.New(1)
		g.Update(0, era.NewestMsg{Era: 2})
		g.Update(0, era.RecordMsg{Record: era.Record{Era: 1, VMs: vms}})
		var waited clock.Millis
		for at := clock.Millis(100); g.Wait() != era.WaitNone; at += 100 {
			g.Update(at, era.ReadMsg{BegunAt: at})
			waited = at
		}
		if spread := roster.ReturnSpread(vms); waited <= spread {
			t.Errorf("%d VMs: got %d ms, want more than the %d ms of the entries", vms, waited, spread)
		}
	}
}
