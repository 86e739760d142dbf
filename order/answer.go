package order

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
)

// Outcome is the result of a submission as the caller sees it.
type Outcome string

// The outcomes of a submission.
const (
	OutcomeDone             Outcome = "done"
	OutcomeRefused          Outcome = "refused"
	OutcomeAlreadySubmitted Outcome = "already_submitted"
	OutcomeUnknown          Outcome = "unknown"
)

// Reason explains an Outcome.
type Reason string

// The reasons in an Answer.
const (
	ReasonBadID            Reason = "bad_id"
	ReasonTooOld           Reason = "too_old"
	ReasonTooNew           Reason = "too_new"
	ReasonDraining         Reason = "draining"
	ReasonBusy             Reason = "busy"
	ReasonDeadline         Reason = "deadline"
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonNoUpstream       Reason = "no_upstream"
	ReasonUpstreamRefused  Reason = "upstream_refused"
	ReasonUncertain        Reason = "uncertain"
	ReasonClaimExists      Reason = "claim_exists"
)

// Answer is the final response to a submission.
type Answer struct {
	CallID     uint64
	ID         string
	Outcome    Outcome
	Execution  attempt.Execution
	Reason     Reason
	RetryAfter clock.Millis
	Body       []byte
}
