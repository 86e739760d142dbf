package admission

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
)

// Msg is an input of a Gate.
type Msg interface{ admissionMsg() }

// ArriveMsg asks for a decision. ID must not be in use by a queued or running
// query. A Deadline of 0 means the default of the policy.
type ArriveMsg struct {
	ID       string
	Rank     rank.Rank
	Service  string
	Cost     int // number of sub-requests
	Deadline clock.Millis
}

// DoneMsg reports the end of an admitted query. Every admitted query needs
// one, also if its caller has gone.
type DoneMsg struct {
	ID         string
	QueueMs    clock.Millis // mean queue wait of its sub-requests at the carriers
	ServeMs    clock.Millis // mean time of its sub-requests without that wait; 0 if not known
	TookMs     clock.Millis // time since admission
	Overloaded bool         // some sub-request was shed or dropped under load
}

// PolicyMsg puts a preset in force.
type PolicyMsg struct{ Preset preset.Preset }

// GoneMsg removes a queued query whose caller has gone. It has no effect on
// a running query.
type GoneMsg struct{ ID string }

// DrainMsg makes the gate refuse new arrivals.
type DrainMsg struct{}

// TickMsg lets time pass.
type TickMsg struct{}

func (ArriveMsg) admissionMsg() {}
func (DoneMsg) admissionMsg()   {}
func (PolicyMsg) admissionMsg() {}
func (GoneMsg) admissionMsg()   {}
func (DrainMsg) admissionMsg()  {}
func (TickMsg) admissionMsg()   {}
