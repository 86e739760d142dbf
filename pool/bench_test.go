package pool_test

import (
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/pool"
	"lentillink.example/lentillink/rank"
)

// BenchmarkAttempt measures one attempt that is queued behind 200 others and then dispatched.
func BenchmarkAttempt(b *testing.B) {
	m := pool.New(pool.WithUpstream(upstreamID, 1))
	const waiting = 200
	for i := range uint64(waiting) {
		m.Update(0, request(i, rank.Urgent, 0, 1<<40))
	}
	b.ReportAllocs()
	seq := uint64(waiting)
	for b.Loop() {
		now := clock.Millis(seq / 100)
		m.Update(now, request(seq, rank.Urgent, 0, 1<<40))
		m.Update(now, reply(seq-waiting, attempt.OK))
		m.NextWake()
		seq++
	}
}
