package relay_test

import (
	"fmt"
	"slices"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// oddTimes are times that a caller may state, in milliseconds: the others state 400. 0
// stands for none.
var oddTimes = []clock.Millis{0, 1, 16, 40, 100, 399, 1500, 1 << 62}

// answerAll replies to all sends in cmds at now and returns the commands that follow.
func answerAll(m *relay.Model, now clock.Millis, cmds []relay.Cmd) []relay.Cmd {
	var out []relay.Cmd
	for _, c := range slices.Clone(cmds) {
		if s, ok := c.(relay.SendCmd); ok {
			out = append(out, m.Update(now, relay.ReplyMsg{Attempt: s.Attempt, Reply: relay.Reply{Status: 200, Receipt: fmt.Sprint(s.Attempt)}})...)
		}
	}
	return out
}

// TestStatedTimeAndAdmission guards against a route whose queries are all refused because
// one caller has stated more or less time than the others.
func TestStatedTimeAndAdmission(t *testing.T) {
	for _, odd := range oddTimes {
		t.Run(fmt.Sprint(odd), func(t *testing.T) {
			m := newShardedModel(t, "va", "a")
			now := clock.Millis(2000)
			for id := range uint64(60) {
				stated := clock.Millis(400)
				if id%20 == 10 {
					stated = odd
				}
				got := commandNames(answerAll(m, now+5, m.Update(now, arrivalWithin(id+1, stated))))
				if stated == 400 && fmt.Sprint(got) != "[answer gathered]" {
					t.Fatalf("query %d: got %v, want an answer", id, got)
				}
				now += 50
			}
		})
	}
}

// TestStatedTimeAndQueue guards against requests that wait behind later ones of their
// route because those state less time.
func TestStatedTimeAndQueue(t *testing.T) {
	for _, odd := range append(oddTimes, 3500, 3990) { // the others state 4,000
		t.Run(fmt.Sprint(odd), func(t *testing.T) {
			m := newSingleServiceModel(t, true, 1)
			var busy []relay.SendCmd
			for id := uint64(1); ; id++ { // fills the upstream; one request waits
				cmds := m.Update(2000, arrivalWithin(id, 4000))
				if len(commandNames(cmds)) == 0 {
					break
				}
				busy = append(busy, firstSend(t, cmds))
			}
			waiting := uint64(len(busy)) + 1
			m.Update(2001, arrivalWithin(100, odd))
			for _, c := range m.Update(2002, relay.ReplyMsg{Attempt: busy[0].Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}}) {
				if s, ok := c.(relay.SendCmd); ok && s.Request != waiting {
					t.Errorf("got request %d sent first, want %d", s.Request, waiting)
				}
			}
		})
	}
}

// TestStatedTimeAndUpstreams guards against upstreams that count as failing or full for
// all callers, because one caller states too little time for their work.
func TestStatedTimeAndUpstreams(t *testing.T) {
	reply := func(status int, notRun bool) func(m *relay.Model, now clock.Millis, s relay.SendCmd) {
		return func(m *relay.Model, now clock.Millis, s relay.SendCmd) {
			m.Update(now, relay.ReplyMsg{Attempt: s.Attempt, Reply: relay.Reply{Status: status, NotRun: notRun, Receipt: "x"}})
		}
	}
	ends := map[string]func(m *relay.Model, now clock.Millis, s relay.SendCmd){
		"ran out of time":            reply(504, false),
		"ran out of time in a queue": reply(503, true),
		"no reply": func(m *relay.Model, now clock.Millis, _ relay.SendCmd) {
			m.Update(now, relay.TickMsg{})
			m.Update(now+300, relay.TickMsg{})
		},
		"caller left": func(m *relay.Model, now clock.Millis, s relay.SendCmd) {
			m.Update(now, relay.CallerDisconnectedMsg{ID: s.Request})
			m.Update(now+300, relay.TickMsg{})
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			m := newSingleServiceModel(t, true, 2) // replies take 200 ms, as far as the model knows
			now := clock.Millis(2000)
			for id := range uint64(20) {
				s := firstSend(t, m.Update(now, arrivalWithin(id+1, 300)))
				end(m, now+290, s)
				now += 600
			}
			for id := range uint64(8) {
				if got := commandNames(m.Update(now, arrivalWithin(id+100, 4000))); len(got) != 1 || got[0][:4] != "send" {
					t.Fatalf("request %d: got %v, want it sent at once", id, got)
				}
			}
		})
	}
}

// TestStatedTimeAndLag guards against results that all carriers send too early, because the
// target of one query had passed before a carrier got it.
func TestStatedTimeAndLag(t *testing.T) {
	for _, odd := range oddTimes {
		t.Run(fmt.Sprint(odd), func(t *testing.T) {
			m := newShardedModelWithBudget(t)
			delegate := func(now clock.Millis, id uint64, stated clock.Millis) relay.DelegateCmd {
				for _, c := range m.Update(now, arrivalWithin(id, stated)) {
					if d, ok := c.(relay.DelegateCmd); ok {
						return d
					}
				}
				t.Fatal("got no delegation, want one")
				return relay.DelegateCmd{}
			}
			want := delegate(2000, 1, 400).Delegation.TargetInMs
			m.Update(2390, relay.TickMsg{})
			now := clock.Millis(20_000)
			for id := range uint64(20) {
				d := delegate(now, id+2, odd)
				const tripMs = 4
				partialAt := max(now+d.Delegation.TargetInMs, now+tripMs) + tripMs
				if d.Delegation.TargetInMs > tripMs {
					m.Update(now+2*tripMs, relay.DelegationAckMsg{From: d.To, ID: d.Delegation.ID})
				}
				m.Update(partialAt, relay.DelegationResultMsg{From: d.To, Result: relay.DelegationResult{
					ID: d.Delegation.ID, Partial: true, Answer: relay.Answer{Outcome: relay.Gathered, Receipts: []string{"x"}},
				}})
				m.Update(now+500, relay.TickMsg{})
				now += 1000
			}
			if got := delegate(now, 100, 400).Delegation.TargetInMs; got < want-1 {
				t.Errorf("got %d ms to the target for the next query, want %d", got, want)
			}
		})
	}
}
