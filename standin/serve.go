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

// shedRetryMs is the retry-after time of a shed attempt.
const shedRetryMs = 50

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
		answer(ctx, fasthttp.StatusOK, u.shownLoad(time.Now()))
	default:
		answerError(ctx, fasthttp.StatusNotFound, "no %s %s", method, path)
	}
}

func (u *Upstream) serveAttempt(ctx *fasthttp.RequestCtx, kind attempt.Kind) {
	var req httpup.RequestDoc
	if err := decodeStrict(ctx.PostBody(), &req); err != nil {
		answerError(ctx, fasthttp.StatusBadRequest, "body is not a request: %v", err)
		return
	}
	if (kind == attempt.Order) != (req.OrderID != "") {
		answerError(ctx, fasthttp.StatusBadRequest, "order_id is %q, want one for an order and none for a query", req.OrderID)
		return
	}
	u.reply(ctx, u.process(req, kind))
}

// process decides and runs one attempt.
func (u *Upstream) process(req httpup.RequestDoc, kind attempt.Kind) httpup.ReplyDoc {
	deadline := time.Now().Add(req.DeadlineMs.Duration())
	if status, refused := u.refusal(req, kind); refused {
		return u.refuse(req, status)
	}
	turn, ok := u.slots.enter(u.shedAbove())
	if !ok {
		return u.refuse(req, httpup.StatusShed)
	}
	defer u.slots.leave(turn)
	j := u.register(req.Attempt)
	defer u.unregister(req.Attempt, j)
	if !u.wait(turn, time.Until(deadline), j.cancel) {
		return u.refuse(req, stopped(j))
	}
	// A cancellation or a deadline that came together with the turn still stops the attempt unrun.
	if j.cancelled() || !time.Now().Before(deadline) {
		return u.refuse(req, stopped(j))
	}
	return u.run(req, kind, deadline, j)
}

func (u *Upstream) refusal(req httpup.RequestDoc, kind attempt.Kind) (string, bool) {
	u.data.Lock()
	defer u.data.Unlock()
	u.counts.Received++
	switch {
	case u.b.leaving:
		return httpup.StatusLeaving, true
	case req.DeadlineMs <= 0:
		return httpup.StatusExpired, true
	case kind == attempt.Query && !slices.Contains(u.b.held, req.Version):
		return httpup.StatusVersionGone, true
	}
	return "", false
}

func stopped(j *job) string {
	if j.cancelled() {
		return httpup.StatusCancelled
	}
	return httpup.StatusExpired
}

// refuse answers an attempt that did not start.
func (u *Upstream) refuse(req httpup.RequestDoc, status string) httpup.ReplyDoc {
	u.data.Lock()
	defer u.data.Unlock()
	u.counts.add(status)
	doc := u.document(req, status, attempt.NotExecuted)
	if status == httpup.StatusShed {
		doc.RetryAfterMs = shedRetryMs
	}
	return doc
}

func (c *AttemptCounts) add(status string) {
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

// run works on an attempt. A query stops at its deadline or cancellation; an
// order that started runs to its end, so that the ledger is exact.
func (u *Upstream) run(req httpup.RequestDoc, kind attempt.Kind, deadline time.Time, j *job) httpup.ReplyDoc {
	took := u.startRun(req, kind)
	if kind == attempt.Order {
		u.sleep(took, nil)
		return u.finish(req, kind)
	}
	if left := time.Until(deadline); took > left {
		u.sleep(left, j.cancel)
		return u.interrupt(req, stopped(j))
	}
	if !u.sleep(took, j.cancel) {
		return u.interrupt(req, stopped(j))
	}
	return u.finish(req, kind)
}

func (u *Upstream) startRun(req httpup.RequestDoc, kind attempt.Kind) time.Duration {
	u.data.Lock()
	defer u.data.Unlock()
	u.counts.Started++
	if kind == attempt.Order {
		u.ledger[req.OrderID]++
	}
	return u.serviceTime(time.Now())
}

// interrupt answers a query that stopped while it ran.
func (u *Upstream) interrupt(req httpup.RequestDoc, status string) httpup.ReplyDoc {
	u.data.Lock()
	defer u.data.Unlock()
	u.counts.add(status)
	return u.document(req, status, attempt.ExecutionUnknown)
}

func (u *Upstream) finish(req httpup.RequestDoc, kind attempt.Kind) httpup.ReplyDoc {
	u.data.Lock()
	defer u.data.Unlock()
	u.counts.Finished++
	doc := u.document(req, httpup.StatusOK, attempt.Executed)
	doc.Version = req.Version
	if kind == attempt.Order {
		doc.Body = req.Body
		return doc
	}
	doc.Ranges = u.b.ranges
	for _, r := range u.b.ranges {
		doc.Rows = append(doc.Rows, rows(r, u.rows, req.Version)...)
	}
	return doc
}

// rows returns n evenly spaced rows of r whose values carry the version.
func rows(r coverage.Range, n uint32, version uint64) []coverage.Row {
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

// document fills the fields that every reply carries. The caller holds u.data.
func (u *Upstream) document(req httpup.RequestDoc, status string, ran attempt.Execution) httpup.ReplyDoc {
	return httpup.ReplyDoc{
		Attempt:      req.Attempt,
		Status:       status,
		Execution:    ran,
		Epoch:        u.b.epoch,
		HeldVersions: slices.Clone(u.b.held),
		Leaving:      u.b.leaving,
	}
}

// serviceTime draws a service time. The caller holds u.data.
func (u *Upstream) serviceTime(now time.Time) time.Duration {
	ms := u.b.medianMs * math.Exp(u.b.sigma*u.rng.NormFloat64()) * u.b.slowFactor
	if u.rng.Float64() < u.b.slowShare {
		ms *= u.b.slowShareFactor
	}
	if now.Before(u.b.coldUntil) {
		ms *= u.b.coldFactor
	}
	return millis(min(ms, maxDelayMs))
}

func (u *Upstream) shedAbove() int {
	u.data.Lock()
	defer u.data.Unlock()
	return u.b.shedAbove
}
