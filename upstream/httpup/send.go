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

// errNoDocument reports a success without the document that belongs to it.
var errNoDocument = errors.New("reply has no document")

// statusError is a reply with an HTTP status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("HTTP status is %d, want 200", int(e)) }

// Send runs one attempt and returns its reply.
func (c *Client) Send(ctx context.Context, req attempt.Request) attempt.Reply {
	start := c.clock.Now()
	reply := c.send(ctx, req, req.Deadline-start)
	reply.ID = req.ID
	reply.Upstream = req.Upstream
	reply.ServiceMs = max(c.clock.Now()-start, 0)
	return reply
}

func (c *Client) send(ctx context.Context, req attempt.Request, remaining clock.Millis) attempt.Reply {
	h, ok := c.hosts[upstream.ID(req.Upstream)]
	if !ok || remaining <= 0 {
		return attempt.Reply{Status: attempt.NotSent, Execution: attempt.NotExecuted}
	}
	body, err := json.Marshal(newRequestDoc(req, remaining))
	if err != nil {
		return attempt.Reply{Status: attempt.NotSent, Execution: attempt.NotExecuted}
	}
	call := httpcall.Call{Method: fasthttp.MethodPost, Path: requestPath(req.Kind), Body: body, Timeout: remaining.Duration()}
	var reply attempt.Reply
	_, err = h.attempts.Do(ctx, call, func(r httpcall.Reply) (err error) {
		switch {
		case r.Status == fasthttp.StatusNoContent:
			return errNoDocument
		case r.Status != fasthttp.StatusOK:
			return statusError(r.Status)
		}
		reply, err = DecodeReply(req.ID, r.Body)
		return err
	})
	if err != nil {
		return h.replyForError(err)
	}
	return reply
}

func requestPath(kind attempt.Kind) string {
	if kind == attempt.Order {
		return "/order"
	}
	return "/query"
}

func newRequestDoc(req attempt.Request, remaining clock.Millis) RequestDoc {
	return RequestDoc{
		Attempt:    req.ID,
		Service:    req.Service,
		Group:      req.Group,
		Version:    req.Version,
		DeadlineMs: remaining,
		Rank:       req.Rank,
		Priority:   req.Priority,
		OrderID:    req.OrderID,
		Customer:   req.Customer,
		Body:       req.Body,
	}
}

// replyForError maps the error of a call to a reply and counts the upstream's
// replies that were dropped.
func (h *host) replyForError(err error) attempt.Reply {
	var callErr *httpcall.Error
	if !errors.As(err, &callErr) {
		return attempt.Reply{Status: attempt.Failed, Execution: attempt.ExecutionUnknown}
	}
	switch callErr.Kind() {
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
		h.countRejected(err)
	case httpcall.KindTrailingData:
		h.trailingData.Add(1)
	default:
		h.malformed.Add(1)
	}
	return attempt.Reply{Status: attempt.Mismatched, Execution: attempt.ExecutionUnknown}
}

func (h *host) countRejected(err error) {
	if errors.Is(err, errOtherAttempt) {
		h.wrongAttempt.Add(1)
		return
	}
	h.malformed.Add(1)
}
