package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentillink.example/lentillink/entry"
)

// worker is what one connection measured.
type worker struct {
	latency    *hdrhistogram.Histogram
	incomplete int64
	err        error
}

// send asks one query after the other until ctx ends.
func (b *bench) send(ctx context.Context, n int) worker {
	w := worker{latency: hdrhistogram.New(1, maxLatencyUs, latencyDigits)}
	q := entry.QueryRequest{Rank: "urgent", Service: "search", Query: json.RawMessage(`{"find":"all"}`)}
	for i := 0; ctx.Err() == nil; i++ {
		q.ID = fmt.Sprintf("bench-%d-%d", n, i)
		begin := time.Now()
		a, err := b.fleet.Caller(0).Query(q)
		if err != nil {
			w.err = err
			return w
		}
		if err := w.latency.RecordValue(max(time.Since(begin).Microseconds(), 1)); err != nil {
			w.err = err
			return w
		}
		if a.Outcome != "complete" {
			w.incomplete++
		}
	}
	return w
}
