package roster_test

import (
	"testing"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/store"
)

// storeModel is the entry of one VM in a store that may carry out writes late, twice or in
// another order, in virtual time.
type storeModel struct {
	now    clock.Millis
	leases map[store.LeaseID]clock.Millis // when each one ends
	last   store.LeaseID
	writer int           // 0 if there is no entry, else the process that wrote it
	lease  store.LeaseID // of the entry
	later  []timedCall
}

type timedCall struct {
	at clock.Millis
	do func()
}

func (s *storeModel) after(ms clock.Millis, do func()) {
	s.later = append(s.later, timedCall{s.now + ms, do})
}

// write writes the entry of a process under a lease, if that has not ended.
func (s *storeModel) write(process int, lease store.LeaseID) bool {
	if s.leases[lease] <= s.now {
		return false
	}
	s.writer, s.lease = process, lease
	return true
}

// step advances the time by one step and carries out what is due.
func (s *storeModel) step(ms clock.Millis) {
	s.now += ms
	due := s.later
	s.later = nil
	for _, c := range due {
		if c.at <= s.now {
			c.do()
		} else {
			s.later = append(s.later, c)
		}
	}
	if s.writer != 0 && s.leases[s.lease] <= s.now {
		s.writer = 0
	}
}

// TestLateWrites guards against an entry that nobody writes again, because a write of an
// earlier process, or one whose reply was lost, was carried out late.
func TestLateWrites(t *testing.T) {
	const (
		stepMs      = 50
		process     = 2
		noticeMs    = 2000 // within which a VM sees a change of the store
		repairMs    = 5000 // after the lease of an earlier process has ended
		calmMs      = roster.LeaseTTL + repairMs
		disturbedMs = 30_000
	)
	rapid.Check(t, func(t *rapid.T) {
		s := &storeModel{now: 1000, leases: map[store.LeaseID]clock.Millis{}}
		r := roster.NewRegistrar(1)
		var perform func(cmds []roster.RegistrarCmd)
		reply := func(msg roster.RegistrarMsg) { perform(r.Update(s.now, msg)) }
		calmFrom := s.now + disturbedMs
		perform = func(cmds []roster.RegistrarCmd) {
			for _, cmd := range cmds {
				late, lost := clock.Millis(4), false
				if s.now < calmFrom {
					late = clock.Millis(rapid.IntRange(4, 4000).Draw(t, "late"))
					lost = late > 1000 // the call times out
				}
				call := func() roster.RegistrarMsg {
					switch c := cmd.(type) {
					case roster.GrantCmd:
						s.last++
						s.leases[s.last] = s.now + c.TTL
						return roster.GrantedMsg{Lease: s.last, TTL: c.TTL}
					case roster.WriteCmd:
						if s.write(process, c.Lease) {
							return roster.WrittenMsg{}
						}
					case roster.RenewCmd:
						if s.leases[c.Lease] > s.now {
							s.leases[c.Lease] = s.now + roster.LeaseTTL
							return roster.RenewedMsg{TTL: roster.LeaseTTL}
						}
					}
					return roster.FailedMsg{Kind: store.KindConflict}
				}
				if lost {
					s.after(1000, func() { reply(roster.FailedMsg{Kind: store.KindUnknown}) })
					s.after(late, func() { call() })
					if rapid.Bool().Draw(t, "twice") {
						s.after(late+clock.Millis(rapid.IntRange(0, 3000).Draw(t, "again")), func() { call() })
					}
					continue
				}
				s.after(late, func() { reply(call()) })
			}
		}
		// Writes of an earlier process, under a lease that nobody renews.
		s.last++
		s.leases[s.last] = s.now + roster.LeaseTTL
		earlier := s.last
		for range rapid.IntRange(1, 4).Draw(t, "writes") {
			s.after(clock.Millis(rapid.IntRange(0, int(roster.LeaseTTL)).Draw(t, "at")), func() { s.write(1, earlier) })
		}
		reply(roster.ReadyMsg{})
		seen, noticed := -1, clock.Millis(0)
		for end := calmFrom + calmMs + 10_000; s.now < end; {
			s.step(stepMs)
			if s.writer != seen {
				seen = s.writer
				intact := seen == process
				// Changes are noticed late, but in their order.
				noticed = max(noticed, s.now+clock.Millis(rapid.IntRange(0, noticeMs).Draw(t, "notice")))
				s.after(noticed-s.now, func() { reply(roster.EntryMsg{Intact: intact}) })
			}
			if at, ok := r.NextWake(); ok && at <= s.now {
				reply(roster.TickMsg{})
			}
			if s.now > calmFrom+calmMs && s.writer != process {
				t.Fatalf("%d ms after the last disturbance: got an entry of process %d, want %d", s.now-calmFrom, s.writer, process)
			}
		}
	})
}
