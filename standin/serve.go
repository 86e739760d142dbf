package standin

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/upstream/httpup"
)

// shedRetryAfterMs is the retry-after time in the reply to a shed attempt.
const shedRetryAfterMs = 50

func (u *Upstream) route(ctx *fasthttp.RequestCtx) {
	method, path := string(ctx.Method()), string(ctx.Path())
	switch method + " " + path {
	case "POST /query":
		u.serveAttempt(ctx, attempt.Query)
	case "POST /order":
		u.serveAttempt(ctx, attempt.Order)
	case "POST /cancel":
		u.serveCancel(ctx)
	case "GET /load":
		writeReply(ctx, fasthttp.StatusOK, u.reportLoad(time.Now()))
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no %s %s", method, path)
	}
}

func (u *Upstream) serveAttempt(ctx *fasthttp.RequestCtx, kind attempt.Kind) {
	var req httpup.RequestDoc
	if err := decodeStrict(ctx.PostBody(), &req); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "body is not a request: %v", err)
		return
	}
	if (kind == attempt.Order) != (req.OrderID != "") {
		writeError(ctx, fasthttp.StatusBadRequest, "order_id is %q, want a name for an order and none for a query", req.OrderID)
		return
	}
	u.countCustomer(req.Customer)
	u.sendReply(ctx, u.process(req, kind))
}

func (u *Upstream) countCustomer(name string) {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	u.customers[name]++
}

// process rejects, queues or executes one attempt and returns its reply.
func (u *Upstream) process(req httpup.RequestDoc, kind attempt.Kind) httpup.ReplyDoc {
	deadline := time.Now().Add(req.DeadlineMs.Duration())
	if status, rejected := u.rejectStatus(req, kind); rejected {
		return u.reject(req, status)
	}
	ready, ok := u.queue.acquire(u.shedAbove())
	if !ok {
		return u.reject(req, httpup.StatusShed)
	}
	defer u.queue.release(ready)
	j := u.registerJob(req.Attempt)
	defer u.unregisterJob(req.Attempt, j)
	if !u.waitReady(ready, time.Until(deadline), j.cancel) {
		return u.reject(req, stopStatus(j))
	}
	// An attempt that was cancelled or whose deadline passed at the same time as a worker became free is not executed.
	if j.cancelled() || !time.Now().Before(deadline) {
		return u.reject(req, stopStatus(j))
	}
	return u.execute(req, kind, deadline, j)
}

func (u *Upstream) rejectStatus(req httpup.RequestDoc, kind attempt.Kind) (string, bool) {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	u.counts.Received++
	switch {
	case u.behaviour.leaving:
		return httpup.StatusLeaving, true
	case req.DeadlineMs <= 0:
		return httpup.StatusExpired, true
	case kind == attempt.Query && !slices.Contains(u.behaviour.heldVersions, req.Version):
		return httpup.StatusVersionGone, true
	}
	return "", false
}

func stopStatus(j *job) string {
	if j.cancelled() {
		return httpup.StatusCancelled
	}
	return httpup.StatusExpired
}

// reject returns the reply to an attempt that was not executed.
func (u *Upstream) reject(req httpup.RequestDoc, status string) httpup.ReplyDoc {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	u.counts.count(status)
	doc := u.newReply(req, status, attempt.NotExecuted)
	if status == httpup.StatusShed {
		doc.RetryAfterMs = shedRetryAfterMs
	}
	return doc
}

func (c *AttemptCounts) count(status string) {
	switch status {
	case httpup.StatusShed:
		c.Shed++
	case httpup.StatusExpired:
		c.Expired++
	case httpup.StatusCancelled:
		c.Cancelled++
	case httpup.StatusVersionGone:
		c.VersionGone++
	case httpup.StatusLeaving:
		c.Leaving++
	}
}

// execute runs an attempt. A query stops at its deadline or cancellation; an
// order that has started runs to completion, so that the count of its executions
// is exact.
func (u *Upstream) execute(req httpup.RequestDoc, kind attempt.Kind, deadline time.Time, j *job) httpup.ReplyDoc {
	duration := u.startExecution(req, kind)
	if kind == attempt.Order {
		u.sleep(duration, nil)
		return u.finishExecution(req, kind)
	}
	if remaining := time.Until(deadline); duration > remaining {
		u.sleep(remaining, j.cancel)
		return u.stopExecution(req, stopStatus(j))
	}
	if !u.sleep(duration, j.cancel) {
		return u.stopExecution(req, stopStatus(j))
	}
	return u.finishExecution(req, kind)
}

func (u *Upstream) startExecution(req httpup.RequestDoc, kind attempt.Kind) time.Duration {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	u.counts.Started++
	if kind == attempt.Order {
		u.executions[req.OrderID]++
	}
	return u.serviceTime(time.Now())
}

// stopExecution returns the reply to a query that was stopped while it ran.
func (u *Upstream) stopExecution(req httpup.RequestDoc, status string) httpup.ReplyDoc {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	u.counts.count(status)
	return u.newReply(req, status, attempt.ExecutionUnknown)
}

func (u *Upstream) finishExecution(req httpup.RequestDoc, kind attempt.Kind) httpup.ReplyDoc {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	u.counts.Finished++
	doc := u.newReply(req, httpup.StatusOK, attempt.Executed)
	doc.Version = req.Version
	if kind == attempt.Order {
		doc.Body = req.Body
		return doc
	}
	doc.Ranges = u.behaviour.ranges
	for _, r := range u.behaviour.ranges {
		doc.Rows = append(doc.Rows, sampleRows(r, u.rowsPerRange, req.Version)...)
	}
	return doc
}

// sampleRows returns n evenly spaced rows of r whose values contain the version.
func sampleRows(r coverage.Range, n uint32, version uint64) []coverage.Row {
	n = min(n, r.Len())
	out := make([]coverage.Row, n)
	for i := range n {
		k := r.From + uint32(uint64(i)*uint64(r.Len())/uint64(n))
		out[i] = coverage.Row{Key: k, Value: RowValue(k, version)}
	}
	return out
}

// RowValue returns the value of a key in a snapshot version.
func RowValue(key uint32, version uint64) string { return fmt.Sprintf("v%d/%d", version, key) }

// newReply returns a reply with the fields common to all replies. The caller
// holds u.dataMu.
func (u *Upstream) newReply(req httpup.RequestDoc, status string, execution attempt.Execution) httpup.ReplyDoc {
	return httpup.ReplyDoc{
		Attempt:      req.Attempt,
		Status:       status,
		Execution:    execution,
		Epoch:        u.behaviour.epoch,
		HeldVersions: slices.Clone(u.behaviour.heldVersions),
		Leaving:      u.behaviour.leaving,
	}
}

// serviceTime returns a random service time. The caller holds u.dataMu.
func (u *Upstream) serviceTime(now time.Time) time.Duration {
	ms := u.behaviour.medianMs * math.Exp(u.behaviour.sigma*u.rng.NormFloat64()) * u.behaviour.slowFactor
	if u.rng.Float64() < u.behaviour.slowShare {
		ms *= u.behaviour.slowShareFactor
	}
	if now.Before(u.behaviour.coldUntil) {
		ms *= u.behaviour.coldFactor
	}
	return millis(min(ms, maxDelayMs))
}

func (u *Upstream) shedAbove() int {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	return u.behaviour.shedAbove
}
