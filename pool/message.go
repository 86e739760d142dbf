package pool

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/preset"
)

// Msg is an input of a Model.
type Msg interface{ poolMsg() }

// EnqueueMsg asks to run an attempt for the VM named From. An attempt that is
// already known is ignored, so a forward that arrives twice runs once.
type EnqueueMsg struct {
	attempt.Request
	From string
}

// ReplyMsg reports the result of a dispatched attempt.
type ReplyMsg struct{ attempt.Reply }

// AbortedMsg reports that the connection of an aborted attempt is closed.
type AbortedMsg struct{ ID attempt.ID }

// CancelMsg cancels an attempt. Queued work is returned at once; running work
// is aborted.
type CancelMsg struct{ ID attempt.ID }

// LimitMsg sets how many connections this VM may open to an upstream. At 0
// running work finishes and queued work is returned.
type LimitMsg struct {
	Upstream    string
	Connections int
}

// LeavingMsg says that an upstream takes no new work.
type LeavingMsg struct{ Upstream string }

// AvailableMsg says that an upstream takes work again.
type AvailableMsg struct{ Upstream string }

// PolicyMsg sets the guaranteed shares of dispatches from the floors of a preset.
type PolicyMsg struct{ Preset preset.Preset }

// TickMsg lets time pass.
type TickMsg struct{}

func (EnqueueMsg) poolMsg()   {}
func (ReplyMsg) poolMsg()     {}
func (AbortedMsg) poolMsg()   {}
func (CancelMsg) poolMsg()    {}
func (LimitMsg) poolMsg()     {}
func (LeavingMsg) poolMsg()   {}
func (AvailableMsg) poolMsg() {}
func (PolicyMsg) poolMsg()    {}
func (TickMsg) poolMsg()      {}
