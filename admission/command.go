package admission

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
)

// Cmd is an output of a Gate.
type Cmd interface{ admissionCmd() }

// AdmitCmd starts a query. Deadline is the effective one under the policy.
type AdmitCmd struct {
	ID       string
	Deadline clock.Millis
	WaitedMs clock.Millis
}

// RefuseCmd refuses a query that was not run.
type RefuseCmd struct {
	ID           string
	Reason       Reason
	RetryAfterMs clock.Millis
}

// EventCmd records an event.
type EventCmd struct{ Event timeline.Event }

func (AdmitCmd) admissionCmd()  {}
func (RefuseCmd) admissionCmd() {}
func (EventCmd) admissionCmd()  {}

// Reason says why a query was refused.
type Reason uint8

// The reasons of a refusal.
const (
	ReasonQueueFull      Reason = iota // the queue of the rank is full
	ReasonDisplaced                    // a newer query took its place in a full queue
	ReasonTooLate                      // it can no longer finish by its deadline
	ReasonDraining                     // the VM is stopping
	ReasonUnknownService               // the service is not configured
	ReasonDuplicateID                  // a query with this ID is queued or running

	reasonCount = 6
)

var reasonNames = [reasonCount]string{
	"queue_full", "displaced", "too_late", "draining", "unknown_service", "duplicate_id",
}

// String returns the name of r.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}
