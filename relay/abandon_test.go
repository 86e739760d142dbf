package relay_test

import (
	"testing"

	"lentillink.example/lentillink/relay"
)

// TestAbandon guards against a request that is never answered, or answered twice, after
// an unexpected error in handling one message, and against other requests that suffer.
func TestAbandon(t *testing.T) {
	for _, when := range []string{"arrival", "reply", "failure", "second time", "unknown attempt"} {
		t.Run(when, func(t *testing.T) {
			m := newSingleServiceModel(t, true, 2)
			other := firstSend(t, m.Update(2000, arrival(1)))
			a := firstSend(t, m.Update(2000, arrival(2)))
			var msg relay.Msg = relay.ReplyMsg{Attempt: a.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}}
			switch when {
			case "arrival":
				msg = arrival(2)
			case "failure":
				msg = relay.AttemptFailedMsg{Attempt: a.Attempt}
			case "second time":
				m.Abandon(2005, msg)
			case "unknown attempt":
				msg = relay.ReplyMsg{Attempt: 1 << 40}
			}
			want := []string{"cancel", "answer failed"}
			if when == "second time" || when == "unknown attempt" {
				want = nil
			}
			wantCommands(t, m.Abandon(2010, msg), want...)
			if want != nil {
				wantCommands(t, m.Update(2020, relay.ReplyMsg{Attempt: a.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}}))
			}
			wantCommands(t, m.Update(2030, relay.ReplyMsg{Attempt: other.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}}), "answer relayed")
			firstSend(t, m.Update(2040, arrival(3)))
		})
	}
	m := newSingleServiceModel(t, true, 1)
	wantCommands(t, m.Abandon(2000, arrival(9)), "answer failed")
}
