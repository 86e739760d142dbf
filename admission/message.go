package admission

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
)

// Msg is an input of a Controller.
type Msg interface{ admissionMsg() }

// ArrivalMsg requests a decision on a query. A query whose ID is already queued or
// running is refused. A Deadline of 0 means the default of the preset.
type ArrivalMsg struct {
	ID       string
	Rank     rank.Rank
	Service  string
	Cost     int // number of sub-requests
	Deadline clock.Millis
}

// DoneMsg reports the end of an admitted query. It is required for every admitted
// query, also after its caller disconnected.
type DoneMsg struct {
	ID         string
	QueueMs    clock.Millis // mean queue wait of its sub-requests at the carriers
	ServiceMs  clock.Millis // mean time of its sub-requests without that wait; 0 if unknown
	ElapsedMs  clock.Millis // time since admission
	Overloaded bool         // a sub-request was shed or dropped because of overload
}

// PresetMsg replaces the preset in force.
type PresetMsg struct{ Preset preset.Preset }

// CancelMsg removes a queued query whose caller disconnected. It has no effect on a
// running query.
type CancelMsg struct{ ID string }

// DrainMsg makes the Controller refuse new queries.
type DrainMsg struct{}

// TickMsg refuses queued queries that can no longer finish and starts those that fit.
type TickMsg struct{}

func (ArrivalMsg) admissionMsg() {}
func (DoneMsg) admissionMsg()    {}
func (PresetMsg) admissionMsg()  {}
func (CancelMsg) admissionMsg()  {}
func (DrainMsg) admissionMsg()   {}
func (TickMsg) admissionMsg()    {}
