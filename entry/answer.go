package entry

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/vm"
)

// CoverageDocument gives the number of expected and covered keys of an answer and
// the ranges of missing keys.
type CoverageDocument struct {
	Expected uint32           `json:"expected"`
	Covered  uint32           `json:"covered"`
	Missing  []coverage.Range `json:"missing"`
}

// AnswerInfo holds the preset, revision and VM that produced an answer, its
// duration, and the reason if it is incomplete or refused.
type AnswerInfo struct {
	Preset       string       `json:"preset"`
	Revision     uint64       `json:"revision"`
	VM           string       `json:"vm"`
	TookMs       clock.Millis `json:"took_ms"`
	Reason       string       `json:"reason,omitempty"`
	RetryAfterMs clock.Millis `json:"retry_after_ms,omitempty"`
}

// QueryDocument is the response body of POST /v1/query.
type QueryDocument struct {
	ID        string            `json:"id"`
	Outcome   string            `json:"outcome"`
	Execution attempt.Execution `json:"ran"`
	Snapshot  uint64            `json:"snapshot"`
	Coverage  CoverageDocument  `json:"coverage"`
	Rows      []coverage.Row    `json:"rows"`
	AnswerInfo
}

// OrderDocument is the response body of POST /v1/order.
type OrderDocument struct {
	ID        string            `json:"id"`
	Outcome   string            `json:"outcome"`
	Execution attempt.Execution `json:"ran"`
	Body      json.RawMessage   `json:"body,omitempty"`
	AnswerInfo
}

// ErrorDocument is the response body of a request that cannot be accepted.
type ErrorDocument struct {
	Error     string            `json:"error"`
	Field     string            `json:"field,omitempty"`
	Execution attempt.Execution `json:"ran"`
}

func (v *VM) queryDocument(a vm.QueryAnswer) QueryDocument {
	doc := QueryDocument{
		ID: a.ID, Outcome: string(a.Outcome), Execution: a.Execution, Snapshot: a.Snapshot,
		Coverage: CoverageDocument{Expected: a.Expected, Covered: a.Covered, Missing: a.Missing},
		Rows:     a.Rows,
		AnswerInfo: AnswerInfo{
			Preset: a.Preset, Revision: a.Revision, VM: v.self.ID, TookMs: a.TookMs,
			Reason: a.Reason, RetryAfterMs: a.RetryAfterMs,
		},
	}
	// Encode empty lists as [], because callers do not check for null.
	if doc.Rows == nil {
		doc.Rows = []coverage.Row{}
	}
	if doc.Coverage.Missing == nil {
		doc.Coverage.Missing = []coverage.Range{}
	}
	return doc
}

func (v *VM) orderDocument(a vm.OrderAnswer) OrderDocument {
	doc := OrderDocument{
		ID: a.ID, Outcome: string(a.Outcome), Execution: a.Execution,
		AnswerInfo: AnswerInfo{
			Preset: a.Preset, Revision: a.Revision, VM: v.self.ID, TookMs: a.TookMs,
			Reason: a.Reason, RetryAfterMs: a.RetryAfterMs,
		},
	}
	switch {
	case len(a.Body) == 0:
	case json.Valid(a.Body):
		doc.Body = a.Body
	default:
		doc.Body, _ = json.Marshal(string(a.Body))
	}
	return doc
}

// overloadReasons are the refusal reasons that are answered with 429, because the
// caller can avoid them by sending fewer requests. Reasons in neither set are
// answered with 503.
var overloadReasons = map[string]bool{"queue_full": true, "displaced": true, "too_late": true, "busy": true}

// badRequestReasons are the refusal reasons that are answered with 400, because a
// retry of the same request is always refused again.
var badRequestReasons = map[string]bool{
	vm.ReasonUnknownService: true, string(order.ReasonBadID): true,
	string(order.ReasonTooOld): true, string(order.ReasonTooNew): true,
}

func queryStatus(a vm.QueryAnswer) int {
	switch a.Outcome {
	case vm.Complete:
		return fasthttp.StatusOK
	case vm.Partial:
		return fasthttp.StatusPartialContent
	case vm.Refused:
		return refusalStatus(a.Reason)
	}
	if a.Execution == attempt.NotExecuted {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadGateway
}

func orderStatus(a vm.OrderAnswer) int {
	switch a.Outcome {
	case order.OutcomeDone:
		return fasthttp.StatusOK
	case order.OutcomeAlreadySubmitted:
		return fasthttp.StatusConflict
	case order.OutcomeRefused:
		return refusalStatus(a.Reason)
	}
	return fasthttp.StatusBadGateway
}

func refusalStatus(reason string) int {
	switch {
	case overloadReasons[reason]:
		return fasthttp.StatusTooManyRequests
	case badRequestReasons[reason]:
		return fasthttp.StatusBadRequest
	}
	return fasthttp.StatusServiceUnavailable
}
