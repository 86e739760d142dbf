package httpup

import (
	"context"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/segmentio/encoding/json"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/httpcall"
	"lentillink.example/lentillink/upstream"
)

// statusError is a reply with an HTTP status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// Send runs one attempt and returns its reply.
func (c *Client) Send(ctx context.Context, req attempt.Request) attempt.Reply {
	begin := c.clock.Now()
	reply := c.send(ctx, req, req.Deadline-begin)
	reply.ID = req.ID
	reply.Upstream = req.Upstream
	reply.ServiceMs = max(c.clock.Now()-begin, 0)
	return reply
}

func (c *Client) send(ctx context.Context, req attempt.Request, budget clock.Millis) attempt.Reply {
	h, ok := c.hosts[upstream.ID(req.Upstream)]
	if !ok || budget <= 0 {
		return attempt.Reply{Status: attempt.NotSent, Execution: attempt.NotExecuted}
	}
	body, err := json.Marshal(requestDoc(req, budget))
	if err != nil {
		return attempt.Reply{Status: attempt.NotSent, Execution: attempt.NotExecuted}
	}
	call := httpcall.Call{Method: fasthttp.MethodPost, Path: path(req.Kind), Body: body, Timeout: budget.Duration()}
	var reply attempt.Reply
	_, err = h.work.Do(ctx, call, func(r httpcall.Reply) (err error) {
		if r.Status != fasthttp.StatusOK {
			return statusError(r.Status)
		}
		reply, err = DecodeReply(req.ID, r.Body)
		return err
	})
	if err != nil {
		return h.failed(err)
	}
	return reply
}

func path(kind attempt.Kind) string {
	if kind == attempt.Order {
		return "/order"
	}
	return "/query"
}

func requestDoc(req attempt.Request, budget clock.Millis) RequestDoc {
	return RequestDoc{
		Attempt:    req.ID,
		Service:    req.Service,
		Group:      req.Group,
		Version:    req.Version,
		DeadlineMs: budget,
		Rank:       req.Rank,
		Priority:   req.Priority,
		OrderID:    req.OrderID,
		Body:       req.Body,
	}
}

// failed maps a failed call to a reply and counts replies that were dropped.
func (h *host) failed(err error) attempt.Reply {
	var cerr *httpcall.Error
	if !errors.As(err, &cerr) {
		return attempt.Reply{Status: attempt.Failed, Execution: attempt.ExecutionUnknown}
	}
	switch cerr.Kind() {
	case httpcall.KindNotSent, httpcall.KindStale:
		return attempt.Reply{Status: attempt.NotSent, Execution: attempt.NotExecuted}
	case httpcall.KindDial:
		return attempt.Reply{Status: attempt.ConnRefused, Execution: attempt.NotExecuted}
	case httpcall.KindTimeout:
		return attempt.Reply{Status: attempt.TimedOut, Execution: attempt.ExecutionUnknown}
	case httpcall.KindBroken:
		return attempt.Reply{Status: attempt.Failed, Execution: attempt.ExecutionUnknown}
	case httpcall.KindRejected:
		if errors.As(err, new(statusError)) {
			return attempt.Reply{Status: attempt.Failed, Execution: attempt.ExecutionUnknown}
		}
		h.count(err)
	case httpcall.KindTrailingData:
		h.doubled.Add(1)
	default:
		h.cut.Add(1)
	}
	return attempt.Reply{Status: attempt.Mismatched, Execution: attempt.ExecutionUnknown}
}

func (h *host) count(err error) {
	if errors.Is(err, errOtherAttempt) {
		h.crossed.Add(1)
		return
	}
	h.cut.Add(1)
}
