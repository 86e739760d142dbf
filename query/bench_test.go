package query_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/query"
)

// BenchmarkQuery measures one query over 98 groups from start to answer.
func BenchmarkQuery(b *testing.B) {
	r := newRig(98, 1)
	b.ReportAllocs()
	for n := range b.N {
		r.sent, r.answers = r.sent[:0], r.answers[:0]
		r.now++
		r.do(query.StartMsg{ID: fmt.Sprint(n), Service: "s", Deadline: r.now + 180})
		for i := range r.sent {
			r.do(query.ReplyMsg{Reply: r.ok(i)})
		}
	}
}
