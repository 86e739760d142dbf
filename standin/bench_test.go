package standin_test

import (
	"encoding/json"
	"sync/atomic"
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/standin"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/upstream/httpup"
)

// BenchmarkSend measures one attempt over loopback, client and fake upstream together.
func BenchmarkSend(b *testing.B) {
	u, err := standin.StartUpstream(b.Context(), upstream.Upstream{ID: upstreamID},
		standin.WithServiceTime(0, 0), standin.WithRanges(1, coverage.Range{To: 1000}))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = u.Close() }()
	c := httpup.New(httpup.WithServices(upstream.Service{Groups: []upstream.Group{{Replicas: []upstream.Upstream{
		{ID: upstreamID, Address: u.Address(), ConnectionLimit: 64}}}}}))
	defer c.Close()
	var seq atomic.Uint64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if got := c.Send(b.Context(), query(seq.Add(1), longMs)); got.Status != attempt.OK {
				b.Fatalf("Send = %v %v", got.Status, got.Execution)
			}
		}
	})
}

// BenchmarkDecodeReply measures the decoding of a reply with a few rows.
func BenchmarkDecodeReply(b *testing.B) {
	doc := httpup.ReplyDoc{Attempt: query(1, 0).ID, Status: httpup.StatusOK, Execution: attempt.Executed, HeldVersions: []uint64{1, 2},
		Ranges: []coverage.Range{{To: 1000}}}
	for key := range uint32(4) {
		doc.Rows = append(doc.Rows, coverage.Row{Key: key, Value: standin.RowValue(key, 1)})
	}
	body, err := json.Marshal(doc)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := httpup.DecodeReply(doc.Attempt, body); err != nil {
			b.Fatal(err)
		}
	}
}
