package query_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/query"
)

// BenchmarkQuery measures one query over 98 groups from start to answer,
// without building the replies.
func BenchmarkQuery(b *testing.B) {
	h := newHarness(98, 1)
	b.ReportAllocs()
	for n := range b.N {
		h.sent, h.answers = h.sent[:0], h.answers[:0]
		h.now++
		h.update(query.StartMsg{ID: fmt.Sprint(n), Service: "s", Deadline: h.now + 180})
		b.StopTimer()
		msgs := make([]query.Msg, len(h.sent))
		for i := range h.sent {
			msgs[i] = query.ReplyMsg{Reply: h.okReply(i)}
		}
		b.StartTimer()
		for _, msg := range msgs {
			h.update(msg)
		}
	}
}
