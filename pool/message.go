package pool

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/preset"
)

// Msg is an input of a Model.
type Msg interface{ poolMsg() }

// EnqueueMsg queues an attempt of the VM named From. It is ignored if the attempt
// is queued or running, so that a duplicate message does not run it twice.
type EnqueueMsg struct {
	attempt.Request
	From string
}

// ReplyMsg reports the result of a dispatched attempt.
type ReplyMsg struct{ attempt.Reply }

// AbortedMsg reports that the connection of an aborted attempt is closed.
type AbortedMsg struct{ ID attempt.ID }

// CancelMsg cancels an attempt. A queued attempt is returned at once; a running
// one is aborted.
type CancelMsg struct{ ID attempt.ID }

// LimitMsg sets the number of connections that this VM may open to an upstream.
// At 0 running attempts finish and queued ones are returned.
type LimitMsg struct {
	Upstream    string
	Connections int
}

// LeavingMsg reports that an upstream accepts no new attempts. Queued ones are returned.
type LeavingMsg struct{ Upstream string }

// AvailableMsg reports that an upstream accepts attempts again.
type AvailableMsg struct{ Upstream string }

// PresetMsg sets the guaranteed share of dispatches of each rank to the rank's
// FloorPercent in the preset.
type PresetMsg struct{ Preset preset.Preset }

// TickMsg runs what is due. The runtime sends it at the time returned by NextWake.
type TickMsg struct{}

func (EnqueueMsg) poolMsg()   {}
func (ReplyMsg) poolMsg()     {}
func (AbortedMsg) poolMsg()   {}
func (CancelMsg) poolMsg()    {}
func (LimitMsg) poolMsg()     {}
func (LeavingMsg) poolMsg()   {}
func (AvailableMsg) poolMsg() {}
func (PresetMsg) poolMsg()    {}
func (TickMsg) poolMsg()      {}
