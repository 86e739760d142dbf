package query_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/query"
)

// BenchmarkQuery measures one query over 98 groups from start to answer,
// without the making of the replies.
func BenchmarkQuery(b *testing.B) {
	r := newRig(98, 1)
	b.ReportAllocs()
	for n := range b.N {
		r.sent, r.answers = r.sent[:0], r.answers[:0]
		r.now++
		r.do(query.StartMsg{ID: fmt.Sprint(n), Service: "s", Deadline: r.now + 180})
		b.StopTimer()
		msgs := make([]query.Msg, len(r.sent))
		for i := range r.sent {
			msgs[i] = query.ReplyMsg{Reply: r.ok(i)}
		}
		b.StartTimer()
		for _, msg := range msgs {
			r.do(msg)
		}
	}
}
