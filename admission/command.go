package admission

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
)

// Cmd is an output of a Controller.
type Cmd interface{ admissionCmd() }

// AdmitCmd starts a query. Deadline is the query's own, limited by the preset.
type AdmitCmd struct {
	ID       string
	Deadline clock.Millis
	WaitedMs clock.Millis
}

// RefuseCmd refuses a query that was not started.
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

// Reason is the cause of a refusal.
type Reason uint8

// The reasons of a refusal.
const (
	ReasonQueueFull      Reason = iota // the queue of the rank is full
	ReasonDisplaced                    // evicted from a full queue in favour of a newer query
	ReasonTooLate                      // the query can no longer finish by its deadline
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
