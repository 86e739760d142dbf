package relay_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

// registered is a report that upstream u0 of service s accepts work.
func registered(incarnation, sequence uint64) relay.UpstreamMsg {
	return relay.UpstreamMsg{Upstream: relay.Upstream{
		ID: "u0", Service: "s", Address: "a0", DataCentre: "a", Slots: 2, Incarnation: incarnation, Sequence: sequence,
	}}
}

// sendsTo reports whether a new request is sent to an upstream.
func sendsTo(m *relay.Model, now clock.Millis, id uint64, upstream string) bool {
	cmds := append([]relay.Cmd(nil), m.Update(now, relay.TickMsg{})...)
	for _, c := range append(cmds, m.Update(now, arrival(id))...) {
		if s, ok := c.(relay.SendCmd); ok && s.Upstream == upstream {
			return true
		}
	}
	return false
}

// TestLeavingReply guards against new work for an upstream that said in a reply that
// it leaves, whatever its entry in the store says afterwards.
func TestLeavingReply(t *testing.T) {
	leavingReply := relay.Reply{Status: 200, Receipt: "x", Leaving: true}
	tests := []struct {
		name  string
		reply relay.Reply
		after []relay.Msg // after the reply
		want  bool        // whether the upstream gets new work
	}{
		{"no notice", relay.Reply{Status: 200, Receipt: "x"}, nil, true},
		{"success", leavingReply, nil, false},
		{"failure", relay.Reply{Status: 500, Leaving: true}, nil, false},
		{"turned away", relay.Reply{Status: 503, NotRun: true, Leaving: true}, nil, false},
		{"later entry", leavingReply, []relay.Msg{registered(7, 9)}, false},
		{"removed and read again", leavingReply, []relay.Msg{relay.UpstreamRemovedMsg{ID: "u0"}, registered(7, 9)}, false},
		{"new address", leavingReply, []relay.Msg{relay.UpstreamMsg{Upstream: relay.Upstream{
			ID: "u0", Service: "s", Address: "a1", DataCentre: "a", Slots: 2, Incarnation: 7, Sequence: 9,
		}}}, false},
		{"restarted", leavingReply, []relay.Msg{registered(8, 1)}, true},
		{"removed and restarted", leavingReply, []relay.Msg{relay.UpstreamRemovedMsg{ID: "u0"}, registered(8, 1)}, true},
		{"another upstream answered", relay.Reply{Status: 421, NotRun: true, WrongUpstream: true, Leaving: true}, []relay.Msg{registered(7, 9)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newSingleServiceModel(t, true, 0)
			m.Update(1000, registered(7, 1))
			a := firstSend(t, m.Update(2000, arrival(1)))
			m.Update(2010, relay.ReplyMsg{Attempt: a.Attempt, Reply: tt.reply})
			for _, msg := range tt.after {
				m.Update(2020, msg)
			}
			if got := sendsTo(m, 2500, 2, "u0"); got != tt.want {
				t.Errorf("got new work %t, want %t", got, tt.want)
			}
		})
	}
}

// TestLeavingReplyAfterRestart guards against taking the notice of an ended
// incarnation for one of the incarnation that followed it.
func TestLeavingReplyAfterRestart(t *testing.T) {
	m := newSingleServiceModel(t, true, 0)
	m.Update(1000, registered(7, 1))
	a := firstSend(t, m.Update(2000, arrival(1)))
	m.Update(2005, registered(8, 1))
	m.Update(2010, relay.ReplyMsg{Attempt: a.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x", Leaving: true}})
	if !sendsTo(m, 2500, 2, "u0") {
		t.Error("got no new work for the new incarnation")
	}
}

// TestLeavingReplyBehindOddIncarnation guards against a notice that is lost because one was
// kept under a start time that another writer had made up.
func TestLeavingReplyBehindOddIncarnation(t *testing.T) {
	m := newSingleServiceModel(t, true, 0)
	m.Update(1000, registered(7, 1))
	m.Update(1000, registered(1<<50, 1))
	reply := func(now clock.Millis, id uint64) {
		a := firstSend(t, m.Update(now, arrival(id)))
		m.Update(now+10, relay.ReplyMsg{Attempt: a.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x", Leaving: true}})
	}
	reply(2000, 1)
	for n := range uint64(4) { // outvotes the odd report
		m.Update(3000, registered(7, 2+n))
	}
	reply(4000, 2)
	if sendsTo(m, 5000, 3, "u0") {
		t.Error("got a request at an upstream that said that it leaves, want none")
	}
}

// TestLeavingReplyKeepsOpenWork guards against ending the work that a leaving upstream
// already has.
func TestLeavingReplyKeepsOpenWork(t *testing.T) {
	m := newSingleServiceModel(t, false, 0)
	m.Update(1000, registered(7, 1))
	a := firstSend(t, m.Update(2000, arrival(1)))
	b := firstSend(t, m.Update(2001, arrival(2)))
	m.Update(2010, relay.ReplyMsg{Attempt: a.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x", Leaving: true}})
	wantCommands(t, m.Update(2050, relay.ReplyMsg{Attempt: b.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x", Leaving: true}}), "answer relayed")
}

// turnAway sends a request and answers it with a refusal that asks for no requests
// for a time. It returns the commands that follow.
func turnAway(t *testing.T, m *relay.Model, now clock.Millis, id uint64, retryAfterMs clock.Millis) []relay.Cmd {
	t.Helper()
	a := firstSend(t, m.Update(now, arrivalWithin(id, 4000)))
	return m.Update(now+1, relay.ReplyMsg{Attempt: a.Attempt, Reply: relay.Reply{Status: 503, NotRun: true, RetryAfterMs: retryAfterMs}})
}

// TestRetryAfter guards against requests to an upstream that asked for none for a
// while, at any time within it.
func TestRetryAfter(t *testing.T) {
	tests := []struct {
		name         string
		retryAfterMs clock.Millis
		heldMs       clock.Millis // shortest time without requests
		backMs       clock.Millis // time after which it gets requests again
	}{
		{"none", 0, 0, 600},
		{"one second", 1000, 1000, 1600},
		{"a minute", 60_000, 60_000, 75_000},
		{"longer than any overload", 24 * clock.Hour, 5 * clock.Minute, 7 * clock.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newSingleServiceModel(t, true, 0)
			m.Update(1000, registered(7, 1))
			turnAway(t, m, 2000, 1, tt.retryAfterMs)
			id := uint64(1)
			sent := func(now clock.Millis) bool {
				id++
				return sendsTo(m, now, id, "u0")
			}
			for after := clock.Millis(1); after < tt.heldMs; after += max(tt.heldMs/50, 1) {
				if sent(2001 + after) {
					t.Fatalf("got a request %d ms after the refusal, want none for %d ms", after, tt.heldMs)
				}
			}
			m.Update(2001+tt.heldMs/2, registered(7, 2)) // a heartbeat
			if tt.heldMs > 0 && sent(2001+tt.heldMs/2) {
				t.Error("got a request after a heartbeat")
			}
			if !sent(2001 + tt.backMs) {
				t.Errorf("got no request %d ms after the refusal", tt.backMs)
			}
		})
	}
}

// TestRetryAfterElsewhere guards against refusing a request while another upstream can
// take it, and against hedging at an upstream that asked for no requests.
func TestRetryAfterElsewhere(t *testing.T) {
	m := newSingleServiceModel(t, true, 2)
	cmds := turnAway(t, m, 2000, 1, 10_000)
	second := firstSend(t, cmds)
	for now := clock.Millis(2002); now < 4000; now += 10 {
		for _, c := range m.Update(now, relay.TickMsg{}) {
			if s, ok := c.(relay.SendCmd); ok && s.Upstream != second.Upstream {
				t.Fatalf("got a request to %s at %d", s.Upstream, now)
			}
		}
	}
}

// TestRetryAfterEverywhere guards against a request that waits for upstreams that will
// not take it in time, and against a time to come back at which they still will not.
func TestRetryAfterEverywhere(t *testing.T) {
	for _, tt := range []struct {
		name         string
		retryAfterMs clock.Millis
		want         string
	}{
		{"back in time", 1000, "wait"},
		{"back too late", 30_000, "answer refused"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := newSingleServiceModel(t, true, 1)
			got := append([]relay.Cmd(nil), turnAway(t, m, 2000, 1, tt.retryAfterMs)...)
			got = append(got, m.Update(2010, arrivalWithin(2, 4000))...)
			if tt.want != "wait" {
				wantCommands(t, got, tt.want, tt.want)
				for _, c := range got {
					if a, ok := c.(relay.AnswerCmd); ok && a.Answer.RetryAfterMs < tt.retryAfterMs-10 {
						t.Errorf("got a time to come back in %d ms, want %d or later", a.Answer.RetryAfterMs, tt.retryAfterMs-10)
					}
				}
				return
			}
			// The first request must not be sent to the same upstream again.
			now := clock.Millis(2010)
			for now < 4500 {
				now += 10
				for _, c := range m.Update(now, relay.TickMsg{}) {
					if s, ok := c.(relay.SendCmd); ok {
						if s.Request != 2 || now < 3001 {
							t.Errorf("got request %d sent at %d, want only request 2 after 3001", s.Request, now)
						}
						return
					}
				}
			}
			t.Error("the waiting request was never sent")
		})
	}
}

// TestRetryAfterSpread guards against VMs that all come back to an upstream in the
// same instant.
func TestRetryAfterSpread(t *testing.T) {
	backAt := make(map[clock.Millis]int)
	const vms = 50
	for seed := range uint64(vms) {
		m := newSingleServiceModel(t, true, 0, relay.WithSeed(seed))
		m.Update(1000, registered(7, 1))
		turnAway(t, m, 2000, 1, 2000)
		m.Update(2010, arrivalWithin(2, 4000))
		for now := clock.Millis(4000); ; now++ {
			if len(commandNames(m.Update(now, relay.TickMsg{}))) > 0 {
				backAt[now]++
				break
			}
		}
	}
	for now, n := range backAt {
		if n > vms/5 {
			t.Errorf("%d of %d VMs come back at %d ms", n, vms, now)
		}
	}
}

// newGatherModel returns the model of a VM without peers. Its route has four shards s0
// to s3 with two replicas each, s0-0 to s3-1.
func newGatherModel(t *testing.T) *relay.Model {
	t.Helper()
	m := relay.New(relay.WithSelf("vm", "a"), relay.WithVMs(1), relay.WithBudget(productionBudget))
	m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{Version: 7, Routes: []route.Route{{
		Name: "q", Host: "h", Prefix: "/", Gather: []string{"s0", "s1", "s2", "s3"}, Idempotent: true,
		TimeoutMs: 400, TargetMs: 50, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.5,
	}}})})
	for shard := range 4 {
		for replica := range 2 {
			id := fmt.Sprintf("s%d-%d", shard, replica)
			m.Update(1000, relay.UpstreamMsg{Upstream: relay.Upstream{
				ID: id, Service: fmt.Sprint("s", shard), Address: id, DataCentre: "a", Slots: 2,
			}})
		}
	}
	return m
}

// TestRetryAfterShards replays a query while some or all shards turn requests away on
// every replica: the answer leaves them out and says so, or the query is refused.
func TestRetryAfterShards(t *testing.T) {
	for _, heldShards := range []int{0, 1, 4} {
		t.Run(fmt.Sprint(heldShards), func(t *testing.T) {
			m := newGatherModel(t)
			now := clock.Millis(2000)
			turnedAway := make(map[string]bool)
			hold := func(s relay.SendCmd) bool {
				var shard, replica int
				_, _ = fmt.Sscanf(s.Upstream, "s%d-%d", &shard, &replica)
				return shard < heldShards
			}
			for id := range uint64(3) {
				var answer relay.Answer
				pending := append([]relay.Cmd(nil), m.Update(now, arrival(id+1))...)
				for step := 0; answer.Outcome == 0 && step < 500; step++ {
					now++
					var next []relay.Cmd
					for _, c := range pending {
						switch c := c.(type) {
						case relay.SendCmd:
							reply := relay.Reply{Status: 200, Receipt: c.Upstream}
							if hold(c) {
								if turnedAway[c.Upstream] {
									t.Fatalf("query %d: got another request to %s", id, c.Upstream)
								}
								turnedAway[c.Upstream] = true
								reply = relay.Reply{Status: 503, NotRun: true, RetryAfterMs: 5000}
							}
							next = append(next, append([]relay.Cmd(nil), m.Update(now, relay.ReplyMsg{Attempt: c.Attempt, Reply: reply})...)...)
						case relay.AnswerCmd:
							answer = c.Answer
						}
					}
					if len(next) == 0 {
						next = append(next, m.Update(now, relay.TickMsg{})...)
					}
					pending = next
				}
				switch {
				case heldShards == 4 && id == 2:
					if answer.Outcome != relay.Refused || answer.RetryAfterMs < 4500 {
						t.Errorf("query %d: got %s, back in %d ms, want a refusal for 4.5 s or more", id, answer.Outcome, answer.RetryAfterMs)
					}
				case heldShards < 4:
					if answer.Outcome != relay.Gathered || answer.Missing != heldShards {
						t.Errorf("query %d: got %s with %d missing, want gathered with %d", id, answer.Outcome, answer.Missing, heldShards)
					}
				}
				now += 20
			}
		})
	}
}

// TestTooFewShardsReachable replays the first seconds of VMs that start while the
// registrations of most upstreams have lapsed: a query that cannot reach the least share
// of its shards is refused before any of it runs, so that it costs the others nothing and
// its caller knows that it has not run.
func TestTooFewShardsReachable(t *testing.T) {
	for _, lapsed := range []int{0, 2, 3, 4} {
		m := newGatherModel(t) // needs two of four shards
		for shard := range lapsed {
			for replica := range 2 {
				m.Update(1500, relay.UpstreamRemovedMsg{ID: fmt.Sprintf("s%d-%d", shard, replica)})
			}
		}
		got := commandNames(m.Update(2000, arrival(1)))
		if refused := len(got) == 1 && got[0] == "answer refused"; refused != (lapsed > 2) {
			t.Errorf("%d of 4 shards lapsed: got %v, want refused %t", lapsed, got, lapsed > 2)
		}
	}
}
