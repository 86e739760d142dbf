package relay_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

// newSingleServiceModel returns a model with one service of n upstreams that is not
// a shard.
func newSingleServiceModel(t *testing.T, idempotent bool, n int, opts ...relay.Option) *relay.Model {
	t.Helper()
	m := relay.New(append([]relay.Option{relay.WithSelf("vm", "a"), relay.WithVMs(1), relay.WithBudget(productionBudget)}, opts...)...)
	setUpSingleService(m, idempotent, n)
	return m
}

func setUpSingleService(m *relay.Model, idempotent bool, n int) {
	m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{
		Version: 5, Services: []route.Service{{Name: "s", MaxConnections: 110}}, Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/", Service: "s", Idempotent: idempotent, TimeoutMs: 4000, TargetMs: 1200, MaxAttempts: 2,
		}},
	})})
	for i := range n {
		m.Update(1000, relay.UpstreamMsg{Upstream: relay.Upstream{
			ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("a", i), DataCentre: "a", Slots: 2,
		}})
	}
}

func firstSend(t *testing.T, cmds []relay.Cmd) relay.SendCmd {
	t.Helper()
	for _, c := range cmds {
		if s, ok := c.(relay.SendCmd); ok {
			return s
		}
	}
	t.Fatalf("got %v, want a send", commandNames(cmds))
	return relay.SendCmd{}
}

// tickTo sends a TickMsg at each wake time from one time to another, and at its end, as an
// event loop that is never late. It returns all commands.
func tickTo(m *relay.Model, from, to clock.Millis) []relay.Cmd {
	var out []relay.Cmd
	for at, ok := m.NextWake(); ok && at < to; at, ok = m.NextWake() {
		from = max(from, at)
		out = append(out, m.Update(from, relay.TickMsg{})...)
	}
	return append(out, m.Update(to, relay.TickMsg{})...)
}

// TestRetries guards against non-idempotent work that is sent again after it may
// have run, and against work that may be repeated and is given up.
func TestRetries(t *testing.T) {
	reply := func(status int, notRun bool) func(a uint64) relay.Msg {
		return func(a uint64) relay.Msg {
			return relay.ReplyMsg{Attempt: a, Reply: relay.Reply{Status: status, NotRun: notRun, Receipt: "x"}}
		}
	}
	fail := func(notSent bool) func(a uint64) relay.Msg {
		return func(a uint64) relay.Msg { return relay.AttemptFailedMsg{Attempt: a, NotSent: notSent} }
	}
	tests := []struct {
		name       string
		idempotent bool
		end        func(a uint64) relay.Msg
		want       string // answer, or "send" for another attempt
	}{
		{"order, reply", false, reply(200, false), "answer relayed"},
		{"order, refused as not run", false, reply(503, true), "send"},
		{"order, not sent", false, fail(true), "send"},
		{"order, may have run", false, fail(false), "answer failed"},
		{"order, server error", false, reply(500, false), "answer relayed"},
		{"order, client error", false, reply(404, false), "answer relayed"},
		{"order, full without proof", false, reply(503, false), "answer failed"},
		{"order, too many without proof", false, reply(429, false), "answer failed"},
		{"order, timeout without proof", false, reply(408, false), "answer failed"},
		{"query, too many without proof", true, reply(429, false), "answer relayed"},
		{"query, may have run", true, fail(false), "send"},
		{"query, server error", true, reply(500, false), "send"},
		{"query, client error", true, reply(404, false), "answer relayed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newSingleServiceModel(t, tt.idempotent, 3)
			a := firstSend(t, m.Update(2000, arrival(1)))
			got := commandNames(m.Update(2010, tt.end(a.Attempt)))
			if len(got) != 1 || got[0][:4] != tt.want[:4] || tt.want != "send" && got[0] != tt.want {
				t.Errorf("got %v, want %s", got, tt.want)
			}
		})
	}
}

// TestMaxAttempts guards against a request that runs on more upstreams than its
// route allows.
func TestMaxAttempts(t *testing.T) {
	m := newSingleServiceModel(t, true, 4)
	a := firstSend(t, m.Update(2000, arrival(1)))
	b := firstSend(t, m.Update(2010, relay.AttemptFailedMsg{Attempt: a.Attempt}))
	if a.Upstream == b.Upstream {
		t.Errorf("got %s twice, want another upstream", a.Upstream)
	}
	wantCommands(t, m.Update(2020, relay.AttemptFailedMsg{Attempt: b.Attempt}), "answer failed")
}

// TestBudget guards against retries that exceed the fleet-wide budget.
func TestBudget(t *testing.T) {
	m := newSingleServiceModel(t, true, 2)
	m.Update(1000, relay.BudgetMsg{Ratio: 0.2, Extra: 10, WindowMs: 10 * clock.Second})
	retries, now := 0, clock.Millis(2000)
	for id := range uint64(100) {
		a := firstSend(t, m.Update(now, arrival(id+1)))
		for _, c := range append([]relay.Cmd(nil), m.Update(now+5, relay.AttemptFailedMsg{Attempt: a.Attempt})...) {
			if b, ok := c.(relay.SendCmd); ok {
				retries++
				m.Update(now+10, relay.ReplyMsg{Attempt: b.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}})
			}
		}
		now += 50
	}
	if limit := int(0.2*100 + 10); retries > limit {
		t.Errorf("got %d retries for 100 requests, want at most %d", retries, limit)
	}
	if retries < 20 {
		t.Errorf("got %d retries for 100 requests, want at least 20", retries)
	}
}

// TestTimeout guards against a request that stays open after its deadline.
func TestTimeout(t *testing.T) {
	m := newSingleServiceModel(t, false, 1)
	firstSend(t, m.Update(2000, arrival(1)))
	wantCommands(t, m.Update(2380, relay.TickMsg{}))
	wantCommands(t, m.Update(2390, relay.TickMsg{}), "answer timed_out")
}

// TestNoUpstream guards against a request that is queued although no upstream can
// serve it.
func TestNoUpstream(t *testing.T) {
	cmds := newSingleServiceModel(t, false, 0).Update(2000, arrival(1))
	wantCommands(t, cmds, "answer refused")
	for _, c := range cmds {
		if a, ok := c.(relay.AnswerCmd); ok && (a.Answer.RetryAfterMs <= 0 || a.Answer.RetryAfterMs > 400/3) {
			t.Errorf("got a retry delay of %d ms, want up to a third of 400", a.Answer.RetryAfterMs)
		}
	}
}

// TestOlderConfigurationIgnored guards against a rollback to an older version that
// arrives late.
func TestOlderConfigurationIgnored(t *testing.T) {
	m := newSingleServiceModel(t, true, 1)
	m.Update(2000, relay.TableMsg{Table: route.NewTable(route.Config{Version: 4})})
	if got := m.Version(); got != 5 {
		t.Errorf("got version %d, want 5", got)
	}
}

// TestUpstreamReports guards against a leaving upstream that gets work again because
// an older report arrives late, and against a restarted one that gets none.
func TestUpstreamReports(t *testing.T) {
	up := func(incarnation, sequence uint64, leaving bool) relay.UpstreamMsg {
		return relay.UpstreamMsg{Upstream: relay.Upstream{
			ID: "u0", Service: "s", Address: "a0", DataCentre: "a", Slots: 2, Incarnation: incarnation, Sequence: sequence, Leaving: leaving,
		}}
	}
	m := newSingleServiceModel(t, false, 0)
	tests := []struct {
		name string
		msg  relay.UpstreamMsg
		want string
	}{
		{"first report", up(10, 1, false), "send u0"},
		{"leaving", up(10, 3, true), "answer refused"},
		{"older report", up(10, 2, false), "answer refused"},
		{"later report without leaving", up(10, 4, false), "answer refused"},
		{"earlier incarnation", up(9, 9, false), "answer refused"},
		{"restarted", up(11, 1, false), "send u0"},
	}
	for i, tt := range tests {
		m.Update(2000, tt.msg)
		if got := commandNames(m.Update(2000, arrival(uint64(i+1)))); len(got) != 1 || got[0] != tt.want {
			t.Errorf("%s: got %v, want %s", tt.name, got, tt.want)
		}
	}
}

// TestOddCounters guards against an upstream whose true reports all look old, because
// another writer left an entry under its key with counters that are too high, and against
// late reports that replace newer ones.
func TestOddCounters(t *testing.T) {
	leaving := func(sequence uint64) relay.UpstreamMsg {
		msg := registered(7, sequence)
		msg.Upstream.Leaving = true
		return msg
	}
	tests := []struct {
		name    string
		reports []relay.Msg
		want    bool // whether the upstream gets work
	}{
		{"late reports", []relay.Msg{leaving(9), registered(7, 6), registered(7, 5), registered(7, 8), registered(7, 7)}, false},
		{"late reports of an earlier incarnation", []relay.Msg{leaving(9), registered(6, 50), registered(6, 51)}, false},
		{"sequence too high, then leaving", []relay.Msg{registered(7, 1<<50), leaving(10), leaving(11), leaving(12), leaving(13)}, false},
		{"sequence too high, then leaving once", []relay.Msg{registered(7, 1<<50), leaving(10)}, false},
		{"incarnation too high, then leaving twice", []relay.Msg{registered(1<<50, 1), leaving(10), leaving(11)}, false},
		{"restarted, then one late report of leaving", []relay.Msg{registered(9, 1), leaving(10)}, true},
		{"incarnation too high, then leaving", []relay.Msg{registered(1<<50, 1), leaving(10), leaving(11), leaving(12), leaving(13)}, false},
		{"incarnation too high and leaving, then ready", []relay.Msg{
			relay.UpstreamMsg{Upstream: relay.Upstream{ID: "u0", Service: "s", Address: "a0", DataCentre: "a", Incarnation: 1 << 50, Leaving: true}},
			registered(7, 10), registered(7, 11), registered(7, 12), registered(7, 13),
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newSingleServiceModel(t, true, 0)
			m.Update(1000, registered(7, 4))
			for _, msg := range tt.reports {
				m.Update(1100, msg)
			}
			if got := sendsTo(m, 2000, 1, "u0"); got != tt.want {
				t.Errorf("got work %t, want %t", got, tt.want)
			}
		})
	}
}

// TestHedge guards against a query that waits for a paused upstream.
func TestHedge(t *testing.T) {
	m := newShardedModel(t, "va", "a")
	first := m.Update(2000, arrival(1))
	wantCommands(t, first, "send s1a", "send s2a")
	m.Update(2010, relay.ReplyMsg{Attempt: first[0].(relay.SendCmd).Attempt, Reply: relay.Reply{Status: 200, Receipt: "1"}})
	m.Update(2000, relay.BudgetMsg{Ratio: 0.2, Extra: 58, WindowMs: 10 * clock.Second})
	m.Update(2010, relay.TickMsg{})
	at, ok := m.NextWake()
	if !ok || at > 2025 {
		t.Fatalf("got a wake at %d, want one well before the target at 2040", at)
	}
	wantCommands(t, m.Update(at, relay.TickMsg{}), "send s2b")
}

// TestHedgeWaitsForPlace guards against an overdue request that is not sent again because
// the other upstream had no free place at the moment when it became overdue.
func TestHedgeWaitsForPlace(t *testing.T) {
	capacity := 0
	for m := newSingleServiceModel(t, true, 2); len(commandNames(m.Update(2000, arrivalWithin(uint64(capacity+1), 4000)))) > 0; {
		capacity++
	}
	m := newSingleServiceModel(t, true, 2)
	m.Update(1000, relay.BudgetMsg{Ratio: 0.2, Extra: 58, WindowMs: 10 * clock.Second})
	attempts := make(map[string][]uint64) // by upstream, oldest first
	for id := range capacity {
		s := firstSend(t, m.Update(2000, arrivalWithin(uint64(id+1), 4000)))
		attempts[s.Upstream] = append(attempts[s.Upstream], s.Attempt)
	}
	const overdueAt = 3000
	for at, ok := m.NextWake(); ok && at < overdueAt; at, ok = m.NextWake() {
		wantCommands(t, m.Update(at, relay.TickMsg{})) // no place is free
	}
	reply := relay.Reply{Status: 200, Receipt: "x"}
	cmds := m.Update(overdueAt, relay.ReplyMsg{Attempt: attempts["u1"][0], Reply: reply})
	wantCommands(t, cmds, "send u1", "answer relayed")
}

// TestMedianIgnoresSlowUpstreams guards against slow upstreams that raise the median
// estimate, so that hedges against them are sent too late.
func TestMedianIgnoresSlowUpstreams(t *testing.T) {
	const typicalMs, slowMs = 100, 900
	m := newSingleServiceModel(t, true, 1)
	m.Update(1000, relay.BudgetMsg{Ratio: 0.2, Extra: 58, WindowMs: 10 * clock.Second})
	now := clock.Millis(2000)
	for id := range uint64(200) {
		took := clock.Millis(typicalMs)
		if id%4 == 0 {
			took = slowMs
		}
		a := firstSend(t, m.Update(now, arrivalWithin(id+1, 4000)))
		m.Update(now+took, relay.ReplyMsg{Attempt: a.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}})
		now += took
	}
	for i := range 2 {
		m.Update(now, relay.UpstreamMsg{Upstream: relay.Upstream{ID: fmt.Sprint("v", i), Service: "s", Address: "v", DataCentre: "a", Slots: 2}})
	}
	firstSend(t, m.Update(now, arrivalWithin(1000, 4000)))
	// A third of the target of 1200 ms passes before any hedge.
	firstSend(t, tickTo(m, now, now+1200/3))
}

// TestHedgeAtSlowUpstream guards against a longer overdue time for an upstream that
// is known to be slow, which leaves no time for a hedge.
func TestHedgeAtSlowUpstream(t *testing.T) {
	const slowMs = 900
	m := newSingleServiceModel(t, true, 1)
	now := clock.Millis(2000)
	for id := range uint64(3) {
		a := firstSend(t, m.Update(now, arrivalWithin(id+1, 4000)))
		m.Update(now+slowMs, relay.ReplyMsg{Attempt: a.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}})
		now += slowMs
	}
	firstSend(t, m.Update(now, arrivalWithin(1000, 4000)))
	m.Update(now, relay.UpstreamMsg{Upstream: relay.Upstream{ID: "v", Service: "s", Address: "v", DataCentre: "a", Slots: 2}})
	// The initial median latency is a sixth of the target of 1200 ms. If the upstream's
	// slowness doubled the overdue time, that would be 890 ms or more, after this tick.
	firstSend(t, tickTo(m, now, now+800))
}

// TestCallerRoundTrip guards against answers that are sent in time but arrive late.
func TestCallerRoundTrip(t *testing.T) {
	for _, tt := range []struct{ roundTrip, answerLag clock.Millis }{{2, 0}, {6, 0}, {12, 0}, {6, 5}, {12, 9}, {6, 100}} {
		roundTrip := tt.roundTrip
		m := newShardedModel(t, "va", "a")
		msg := arrival(1)
		msg.RoundTripMs, msg.AnswerLagMs = tt.roundTrip, tt.answerLag
		first := m.Update(2000, msg)
		m.Update(2005, relay.ReplyMsg{Attempt: firstSend(t, first).Attempt, Reply: relay.Reply{Status: 200, Receipt: "1"}})
		const target = 50
		answered := clock.Millis(0)
		for now := clock.Millis(2006); now < 2400 && answered == 0; now++ {
			for _, k := range commandNames(m.Update(now, relay.TickMsg{})) {
				if k == "answer gathered" {
					answered = now
				}
			}
		}
		// A lag beyond a fifth of the target must not leave the upstreams hardly any time.
		written := answered + min(tt.answerLag, target/5)
		if answered == 0 || written+roundTrip > 2000+target || answered < 2000+target/2 {
			t.Errorf("round trip of %d ms, lag of %d ms: got an answer after %d ms, at the caller after %d ms, want at least %d and at most %d",
				roundTrip, tt.answerLag, answered-2000, written+roundTrip-2000, target/2, target)
		}
	}
}

// TestTopRecords guards against records that are lost, duplicated or out of order.
func TestTopRecords(t *testing.T) {
	rec := func(c byte) string { return fmt.Sprintf("%015d%c", 0, c) }
	got := string(relay.TopRecords(3, [][]byte{[]byte(rec('a') + rec('c') + "short"), []byte(rec('c') + rec('b')), nil}))
	if want := rec('c') + rec('c') + rec('b'); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := relay.TopRecords(0, [][]byte{[]byte(rec('a'))}); len(got) != 0 {
		t.Errorf("got %q, want nothing", got)
	}
}

// TestWaitedBeforeHandling guards against work that is started for a request whose time
// ran out on this VM, for example while the process was paused, and against upstreams
// that are given more time than is left.
func TestWaitedBeforeHandling(t *testing.T) {
	for _, tt := range []struct {
		waited clock.Millis
		want   string
		left   clock.Millis // time given to the upstream
	}{{0, "send", 385}, {100, "send", 285}, {385, "answer refused", 0}, {8000, "answer refused", 0}} {
		m := newSingleServiceModel(t, false, 1)
		msg := arrival(1)
		msg.WaitedMs = tt.waited
		cmds := m.Update(2000, msg)
		got := commandNames(cmds)
		if len(got) != 1 || got[0][:4] != tt.want[:4] {
			t.Errorf("waited %d ms: got %v, want %s", tt.waited, got, tt.want)
			continue
		}
		if tt.want == "send" {
			if left := firstSend(t, cmds).RemainingMs; left != tt.left {
				t.Errorf("waited %d ms: got %d ms for the upstream, want %d", tt.waited, left, tt.left)
			}
		}
	}
}

// TestPaused guards against a VM that acts on what ran out while it was paused: requests,
// attempts and delegations end before anything else is done.
func TestPaused(t *testing.T) {
	for _, pause := range []clock.Millis{1000, 3000, 8000} {
		m := newShardedModelWithBudget(t)
		m.Update(2000, arrival(1))
		got := commandNames(m.Update(2000+pause, relay.TickMsg{}))
		if len(got) != 2 || got[0][:8] != "withdraw" || got[1][:6] != "answer" {
			t.Errorf("after %d ms: got %v, want an answer and nothing sent", pause, got)
		}
		wantCommands(t, m.Update(2001+pause, relay.TickMsg{}))
	}
}

// TestSlowHandshake guards against queries that are all refused on one connection, because
// its handshake took long and so its round trip seems to leave no time.
func TestSlowHandshake(t *testing.T) {
	for _, roundTrip := range []clock.Millis{0, 12, 100, 1000, 60_000} {
		msg := arrival(1)
		msg.RoundTripMs = roundTrip
		wantCommands(t, newShardedModel(t, "va", "a").Update(2000, msg), "send s1a", "send s2a")
	}
}

// TestQueuedReplies guards against an answer without replies that were queued behind
// others while the event loop was late: they are handled before the request's timer.
func TestQueuedReplies(t *testing.T) {
	m := newGatherModel(t)
	var sends []relay.SendCmd
	for _, c := range m.Update(2000, arrival(1)) {
		if s, ok := c.(relay.SendCmd); ok {
			sends = append(sends, s)
		}
	}
	var answer relay.Answer
	for i, s := range sends {
		reply := relay.Reply{Status: 200, Receipt: s.Upstream}
		cmds := m.Update(2060, relay.ReplyMsg{Attempt: s.Attempt, Reply: reply}) // the target is at 2050
		if got := commandNames(cmds); i < 3 && len(got) > 0 {
			t.Errorf("got %v after %d of 4 replies, want nothing before a tick", got, i+1)
		}
		if i == 3 {
			answer = firstAnswer(t, cmds)
		}
	}
	if answer.Outcome != relay.Gathered || answer.Missing != 0 {
		t.Errorf("got %s with %d of %d shards missing, want gathered with none", answer.Outcome, answer.Missing, len(sends))
	}
}

func firstAnswer(t *testing.T, cmds []relay.Cmd) relay.Answer {
	t.Helper()
	for _, c := range cmds {
		if a, ok := c.(relay.AnswerCmd); ok {
			return a.Answer
		}
	}
	t.Fatalf("got %v, want an answer", commandNames(cmds))
	return relay.Answer{}
}
