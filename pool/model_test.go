package pool_test

import (
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/pool"
	"lentillink.example/lentillink/rank"
)

const upstreamID = "search/g1/a"

func request(seq uint64, r rank.Rank, priority uint32, deadline clock.Millis) pool.EnqueueMsg {
	id := attempt.ID{VM: "vm1", Incarnation: 1, Seq: seq}
	return pool.EnqueueMsg{From: "vm2", Request: attempt.Request{
		ID: id, Upstream: upstreamID, Rank: r, Priority: priority, Deadline: deadline,
	}}
}

func reply(seq uint64, s attempt.Status) pool.ReplyMsg {
	return pool.ReplyMsg{Reply: attempt.Reply{ID: request(seq, 0, 0, 0).ID, Upstream: upstreamID, Status: s, Execution: attempt.Executed}}
}

func returned(cmds []pool.Cmd) map[uint64]attempt.Reply {
	got := make(map[uint64]attempt.Reply)
	for _, c := range cmds {
		if r, ok := c.(pool.ReturnCmd); ok {
			got[r.ID.Seq] = r.Reply
		}
	}
	return got
}

func dispatched(cmds []pool.Cmd) []uint64 {
	var got []uint64
	for _, c := range cmds {
		if d, ok := c.(pool.DispatchCmd); ok {
			got = append(got, d.ID.Seq)
		}
	}
	return got
}

// step is a message and the time at which it is handled.
type step struct {
	at  clock.Millis
	msg pool.Msg
}

// TestReturns guards against a missing result and a wrong status or execution
// state of an attempt.
func TestReturns(t *testing.T) {
	deadline := clock.Millis(1000)
	first := step{0, request(1, rank.Urgent, 9, deadline)}
	second := step{0, request(2, rank.Urgent, 5, deadline)}
	id := func(seq uint64) attempt.ID { return request(seq, 0, 0, 0).ID }
	tests := []struct {
		name      string
		steps     []step
		seq       uint64
		status    attempt.Status
		execution attempt.Execution
		queueMs   clock.Millis
		running   int
	}{
		{"reply", []step{first, {7, reply(1, attempt.OK)}}, 1, attempt.OK, attempt.Executed, 0, 0},
		{"queued, then reply", []step{first, second, {7, reply(1, attempt.OK)}, {9, reply(2, attempt.OK)}}, 2, attempt.OK, attempt.Executed, 7, 0},
		{"cancelled while queued", []step{first, second, {3, pool.CancelMsg{ID: id(2)}}}, 2, attempt.Cancelled, attempt.NotExecuted, 3, 1},
		{"cancelled while running", []step{first, {3, pool.CancelMsg{ID: id(1)}}, {4, pool.AbortedMsg{ID: id(1)}}}, 1, attempt.Cancelled, attempt.ExecutionUnknown, 0, 0},
		{"cancelled while running, abort not confirmed by the deadline", []step{first, {3, pool.CancelMsg{ID: id(1)}}, {1020, pool.TickMsg{}}}, 1, attempt.TimedOut, attempt.ExecutionUnknown, 0, 1},
		{"cancelled while running, abort times out", []step{{0, request(1, rank.Urgent, 9, 90_000)}, {3, pool.CancelMsg{ID: id(1)}}, {5003, pool.TickMsg{}}}, 1, attempt.Cancelled, attempt.ExecutionUnknown, 0, 0},
		{"limit falls to 0", []step{first, second, {3, pool.LimitMsg{Upstream: upstreamID}}}, 2, attempt.NotSent, attempt.NotExecuted, 3, 1},
		{"upstream is leaving", []step{first, second, {3, pool.LeavingMsg{Upstream: upstreamID}}}, 2, attempt.Leaving, attempt.NotExecuted, 3, 1},
		{"reply says that the upstream is leaving", []step{first, second, {3, reply(1, attempt.Leaving)}}, 2, attempt.Leaving, attempt.NotExecuted, 3, 0},
		{"deadline passes in the queue", []step{first, {0, request(2, rank.Urgent, 5, 50)}, {50, pool.TickMsg{}}}, 2, attempt.NotSent, attempt.NotExecuted, 50, 1},
		{"no reply", []step{first, {1020, pool.TickMsg{}}}, 1, attempt.TimedOut, attempt.ExecutionUnknown, 0, 1},
		{"no reply and no confirmation of the abort", []step{first, {1020, pool.TickMsg{}}, {6020, pool.TickMsg{}}}, 1, attempt.TimedOut, attempt.ExecutionUnknown, 0, 0},
		{"late reply frees the connection", []step{first, {1020, pool.TickMsg{}}, {1500, reply(1, attempt.OK)}}, 1, attempt.TimedOut, attempt.ExecutionUnknown, 0, 0},
		{"enqueued twice", []step{first, first, {7, reply(1, attempt.OK)}}, 1, attempt.OK, attempt.Executed, 0, 0},
		{"less remaining time than the service time", []step{first, {40, reply(1, attempt.OK)}, {40, request(2, rank.Urgent, 5, 70)}}, 2, attempt.NotSent, attempt.NotExecuted, 0, 0},
		{"service times expire after a second", []step{first, {40, reply(1, attempt.OK)}, {1041, request(2, rank.Urgent, 5, 1071)}, {1050, reply(2, attempt.OK)}}, 2, attempt.OK, attempt.Executed, 0, 0},
		{"queue full, lowest priority is shed", []step{first, second, {0, request(3, rank.Urgent, 1, deadline)}, {0, request(4, rank.Urgent, 7, deadline)}}, 3, attempt.Shed, attempt.NotExecuted, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := pool.New(pool.WithUpstream(upstreamID, 1), pool.WithQueueLimits(rank.NewTable(2, 2, 2)))
			got := make(map[uint64]attempt.Reply)
			for _, s := range tt.steps {
				for seq, r := range returned(m.Update(s.at, s.msg)) {
					if _, duplicate := got[seq]; duplicate {
						t.Errorf("attempt %d returned twice", seq)
					}
					got[seq] = r
				}
			}
			r, ok := got[tt.seq]
			if !ok || r.Status != tt.status || r.Execution != tt.execution || r.QueueMs != tt.queueMs {
				t.Errorf("got %v %s execution %s queue %d ms, want %s execution %s queue %d ms",
					ok, r.Status, r.Execution, r.QueueMs, tt.status, tt.execution, tt.queueMs)
			}
			if got := m.BusyConns(upstreamID); got != tt.running {
				t.Errorf("got %d busy connections, want %d", got, tt.running)
			}
		})
	}
}

// TestOrder guards against attempts of lower rank or priority that are dispatched
// before others.
func TestOrder(t *testing.T) {
	m := pool.New(pool.WithUpstream(upstreamID, 1), pool.WithShares(rank.NewTable(0.0, 0, 0)))
	m.Update(0, request(1, rank.Patient, 0, 1000))
	m.Update(0, request(2, rank.Patient, 9, 1000))
	m.Update(0, request(3, rank.Urgent, 1, 1000))
	m.Update(0, request(4, rank.Urgent, 2, 1000))
	m.Update(0, request(5, rank.Urgent, 1, 900))
	m.Update(0, request(6, rank.Ordinary, 0, 1000))
	want := []uint64{4, 5, 3, 6, 2}
	last := uint64(1)
	for i, w := range want {
		got := dispatched(m.Update(clock.Millis(i+1), reply(last, attempt.OK)))
		if len(got) != 1 || got[0] != w {
			t.Fatalf("dispatch %d: got %v, want %d", i, got, w)
		}
		last = w
	}
}

// TestYield guards against starvation of an attempt of low priority: it must not
// yield to others until its deadline while all connections are busy.
func TestYield(t *testing.T) {
	m := pool.New(pool.WithUpstream(upstreamID, 1))
	m.Update(0, request(1, rank.Urgent, 5, 1000))
	m.Update(0, request(2, rank.Urgent, 0, 400))
	last := uint64(1)
	for i := range uint64(20) {
		now := clock.Millis(10 * (i + 1))
		m.Update(now-1, request(3+i, rank.Urgent, 9, now+1000))
		last = dispatched(m.Update(now, reply(last, attempt.OK)))[0]
		if last == 2 {
			if now != 100 {
				t.Errorf("dispatched after %d ms, want a quarter of 400", now)
			}
			return
		}
	}
	t.Error("not dispatched within 200 ms")
}

// TestShares guards against starvation of the lower ranks when every rank's queue
// is long.
func TestShares(t *testing.T) {
	m := pool.New(pool.WithUpstream(upstreamID, 1), pool.WithShares(rank.NewTable(0.5, 0.25, 0.1)))
	var last uint64
	ranks := make(map[uint64]rank.Rank)
	var seq uint64
	for _, r := range rank.All() {
		for range 500 {
			seq++
			ranks[seq] = r
			if d := dispatched(m.Update(0, request(seq, r, 0, 1_000_000))); len(d) == 1 {
				last = d[0]
			}
		}
	}
	served := rank.Table[int]{}
	for i := range 400 {
		last = dispatched(m.Update(clock.Millis(i), reply(last, attempt.OK)))[0]
		*served.Ref(ranks[last])++
	}
	if got := served.At(rank.Ordinary); got < 99 || got > 101 {
		t.Errorf("got %d ordinary attempts of 400, want 99 to 101", got)
	}
	if got := served.At(rank.Patient); got < 39 || got > 41 {
		t.Errorf("got %d patient attempts of 400, want 39 to 41", got)
	}
}

// TestRefusedConnections guards against repeated connection attempts without a
// backoff to an upstream that refuses them.
func TestRefusedConnections(t *testing.T) {
	m := pool.New(pool.WithUpstream(upstreamID, 4))
	for seq := range uint64(4) {
		m.Update(0, request(seq, rank.Urgent, 0, 100_000))
	}
	m.Update(1, reply(0, attempt.ConnRefused))
	if got := m.Limit(upstreamID); got != 3 {
		t.Errorf("got limit %d after a refused connection, want 3", got)
	}
	m.Update(1001, pool.TickMsg{})
	if got := m.Limit(upstreamID); got != 4 {
		t.Errorf("got limit %d after a second, want 4", got)
	}
	for seq := uint64(1); seq < 4; seq++ {
		m.Update(1002, reply(seq, attempt.ConnRefused))
	}
	cmds := m.Update(1003, request(10, rank.Urgent, 0, 100_000))
	if r := returned(cmds)[10]; r.Status != attempt.ConnRefused || r.Execution != attempt.NotExecuted || r.RetryAfter <= 0 {
		t.Errorf("got %s, execution %s, retry after %d during backoff, want refused, no, positive", r.Status, r.Execution, r.RetryAfter)
	}
	m.Update(1200, request(11, rank.Urgent, 0, 100_000))
	m.Update(1200, request(12, rank.Urgent, 0, 100_000))
	if got := m.BusyConns(upstreamID); got != 1 {
		t.Errorf("got %d running after the backoff, want 1 probe", got)
	}
}

// TestConnectionsAreReused guards against opening a connection while one is idle,
// and against idle connections that outlive the idle timeout.
func TestConnectionsAreReused(t *testing.T) {
	m := pool.New(pool.WithUpstream(upstreamID, 4))
	for i := range uint64(10) {
		m.Update(clock.Millis(i), request(i, rank.Urgent, 0, 100_000))
		m.Update(clock.Millis(i)+1, reply(i, attempt.OK))
	}
	if got := m.OpenedConns(upstreamID); got != 1 {
		t.Errorf("got %d connections opened, want 1", got)
	}
	at, ok := m.NextWake()
	if !ok || at != 30_010 {
		t.Fatalf("got wake %d %v, want 30010", at, ok)
	}
	cmds := m.Update(at, pool.TickMsg{})
	if got := m.OpenConns(upstreamID); got != 0 || len(cmds) != 1 {
		t.Errorf("got %d open and %d commands after the idle timeout, want 0 and 1", got, len(cmds))
	}
}
