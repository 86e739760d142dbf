package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentillink.example/lentillink/entry"
)

// workerResult is the result of one concurrent caller.
type workerResult struct {
	latency    *hdrhistogram.Histogram
	incomplete int64
	err        error
}

// runQueries sends one query after the other until ctx ends.
func (r *runner) runQueries(ctx context.Context, id int) workerResult {
	w := workerResult{latency: hdrhistogram.New(1, maxLatencyUs, latencyDigits)}
	q := entry.QueryRequest{Rank: "urgent", Service: "search", Query: json.RawMessage(`{"find":"all"}`)}
	for i := 0; ctx.Err() == nil; i++ {
		q.ID = fmt.Sprintf("bench-%d-%d", id, i)
		start := time.Now()
		a, err := r.fleet.Caller(0).Query(q)
		if err != nil {
			w.err = err
			return w
		}
		if err := w.latency.RecordValue(max(time.Since(start).Microseconds(), 1)); err != nil {
			w.err = err
			return w
		}
		if a.Outcome != "complete" {
			w.incomplete++
		}
	}
	return w
}
