package relay_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// TestRefusalsEnd replays upstreams that are slow for some seconds. Queries are refused while
// none could be in time. Refused ones bring no new measurements, so it guards against
// refusals that go on when the upstreams are fast again.
func TestRefusalsEnd(t *testing.T) {
	const gapMs, slowFrom, slowTo, end = 20, 4000, 8000, 12_000
	m := newShardedModel(t, "va", "a")
	type reply struct {
		attempt uint64
		at      clock.Millis
	}
	var replies []reply
	answered, sentAfter := 0, 0
	handle := func(now clock.Millis, cmds []relay.Cmd) {
		for _, c := range cmds {
			switch c := c.(type) {
			case relay.SendCmd:
				latency := clock.Millis(5)
				if now >= slowFrom && now < slowTo {
					latency = 300
				}
				replies = append(replies, reply{c.Attempt, now + latency})
			case relay.AnswerCmd:
				if now >= slowTo+1000 && c.Answer.Outcome == relay.Gathered {
					answered++
				}
			}
		}
	}
	for now := clock.Millis(2000); now < end; now++ {
		var rest []reply
		due := replies
		replies = nil
		for _, r := range due {
			if r.at > now {
				rest = append(rest, r)
				continue
			}
			handle(now, m.Update(now, relay.ReplyMsg{Attempt: r.attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}}))
		}
		replies = append(replies, rest...)
		handle(now, m.Update(now, relay.TickMsg{}))
		if now%gapMs == 0 {
			if now >= slowTo+1000 {
				sentAfter++
			}
			handle(now, m.Update(now, arrival(uint64(now))))
		}
	}
	if answered < sentAfter*9/10 {
		t.Errorf("got answers to %d of %d queries from a second after the upstreams are fast again, want nearly all", answered, sentAfter)
	}
}
