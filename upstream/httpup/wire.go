package httpup

import (
	"errors"
	"fmt"

	"github.com/segmentio/encoding/json"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/rank"
)

// RequestDoc is the body of POST /query and POST /order.
type RequestDoc struct {
	Attempt    attempt.ID   `json:"attempt"`
	Service    string       `json:"service"`
	Group      string       `json:"group"`
	Version    uint64       `json:"version"`
	DeadlineMs clock.Millis `json:"deadline_ms"`
	Rank       rank.Rank    `json:"rank"`
	Priority   uint32       `json:"priority"`
	OrderID    string       `json:"order_id,omitempty"`
	Customer   string       `json:"customer,omitempty"`
	Body       []byte       `json:"body,omitempty"`
}

// ReplyDoc is the reply to POST /query and POST /order.
type ReplyDoc struct {
	Attempt      attempt.ID        `json:"attempt"`
	Status       string            `json:"status"`
	Execution    attempt.Execution `json:"ran"`
	Version      uint64            `json:"version"`
	Epoch        uint64            `json:"epoch"`
	Ranges       []coverage.Range  `json:"ranges,omitempty"`
	HeldVersions []uint64          `json:"held,omitempty"`
	Rows         []coverage.Row    `json:"rows,omitempty"`
	Body         []byte            `json:"body,omitempty"`
	Leaving      bool              `json:"leaving"`
	RetryAfterMs clock.Millis      `json:"retry_after_ms,omitempty"`
}

// CancelDoc is the body of POST /cancel.
type CancelDoc struct {
	Attempt attempt.ID `json:"attempt"`
}

// CancelledDoc is the reply to POST /cancel.
type CancelledDoc struct {
	Attempt attempt.ID `json:"attempt"`
	Found   bool       `json:"found"`
}

// The values of ReplyDoc.Status.
const (
	StatusOK          = "ok"
	StatusVersionGone = "version_gone"
	StatusShed        = "shed"
	StatusLeaving     = "leaving"
	StatusExpired     = "expired"
	StatusCancelled   = "cancelled"
	StatusFailed      = "failed"
)

// statusMeaning is the result of an attempt for a status on the wire. With
// executionFixed, the reply must carry exactly this execution state.
type statusMeaning struct {
	status         attempt.Status
	execution      attempt.Execution
	executionFixed bool
}

var statusMeanings = map[string]statusMeaning{
	StatusOK:          {attempt.OK, attempt.Executed, true},
	StatusVersionGone: {attempt.VersionGone, attempt.NotExecuted, true},
	StatusShed:        {attempt.Shed, attempt.NotExecuted, true},
	StatusLeaving:     {attempt.Leaving, attempt.NotExecuted, true},
	StatusExpired:     {status: attempt.TimedOut},
	StatusCancelled:   {status: attempt.Cancelled},
	StatusFailed:      {status: attempt.Failed},
}

var (
	errOtherAttempt  = errors.New("reply to another attempt")
	errContradictory = errors.New("status and ran contradict each other")
	errBadRange      = errors.New("range is empty or reversed")
)

// DecodeReply decodes the reply to an attempt. It rejects a reply that belongs
// to another attempt, is not valid JSON, or whose status, execution state or
// ranges are invalid.
func DecodeReply(id attempt.ID, body []byte) (attempt.Reply, error) {
	var doc ReplyDoc
	if err := json.Unmarshal(body, &doc); err != nil {
		return attempt.Reply{}, err
	}
	if doc.Attempt != id {
		return attempt.Reply{}, fmt.Errorf("%w: got %s, want %s", errOtherAttempt, doc.Attempt, id)
	}
	meaning, ok := statusMeanings[doc.Status]
	if !ok {
		return attempt.Reply{}, fmt.Errorf("status is %q, want a status of the protocol", doc.Status)
	}
	if meaning.executionFixed && doc.Execution != meaning.execution {
		return attempt.Reply{}, fmt.Errorf("%w: %s and %s", errContradictory, doc.Status, doc.Execution)
	}
	for _, r := range doc.Ranges {
		if r.Len() == 0 {
			return attempt.Reply{}, fmt.Errorf("%w: [%d, %d)", errBadRange, r.From, r.To)
		}
	}
	return doc.toReply(meaning.status), nil
}

func (d *ReplyDoc) toReply(status attempt.Status) attempt.Reply {
	return attempt.Reply{
		ID:           d.Attempt,
		Status:       status,
		Execution:    d.Execution,
		Version:      d.Version,
		Epoch:        d.Epoch,
		Ranges:       d.Ranges,
		HeldVersions: d.HeldVersions,
		Rows:         d.Rows,
		Body:         d.Body,
		Leaving:      d.Leaving,
		RetryAfter:   max(d.RetryAfterMs, 0),
	}
}
