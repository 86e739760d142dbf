package admission

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
)

// Msg is an input of a Gate.
type Msg interface{ admissionMsg() }

// ArrivalMsg asks for a decision. ID must not be in use by a queued or running
// query. A Deadline of 0 means the default of the policy.
type ArrivalMsg struct {
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
	ServiceMs  clock.Millis // mean time of its sub-requests without that wait; 0 if not known
	ElapsedMs  clock.Millis // time since admission
	Overloaded bool         // some sub-request was shed or dropped under load
}

// PresetMsg puts a preset in force.
type PresetMsg struct{ Preset preset.Preset }

// CancelMsg removes a queued query whose caller has gone. It has no effect on
// a running query.
type CancelMsg struct{ ID string }

// DrainMsg makes the gate refuse new arrivals.
type DrainMsg struct{}

// TickMsg lets time pass.
type TickMsg struct{}

func (ArrivalMsg) admissionMsg() {}
func (DoneMsg) admissionMsg()    {}
func (PresetMsg) admissionMsg()  {}
func (CancelMsg) admissionMsg()  {}
func (DrainMsg) admissionMsg()   {}
func (TickMsg) admissionMsg()    {}
