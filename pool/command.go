package pool

import "lentillink.example/lentillink/attempt"

// Cmd is an output of a Model.
type Cmd interface{ poolCmd() }

// DispatchCmd sends an attempt on a connection. Open says that no idle
// connection is left and a new one has to be opened.
type DispatchCmd struct {
	attempt.Request
	NewConn bool
}

// AbortCmd cancels a running attempt at the upstream. The runtime answers
// with a ReplyMsg, or with an AbortedMsg once the connection is closed.
type AbortCmd struct {
	ID       attempt.ID
	Upstream string
}

// CloseIdleCmd closes the longest idle connections until Keep are left idle.
type CloseIdleCmd struct {
	Upstream string
	Keep     int
}

// ReturnCmd returns the result of an attempt to the VM that asked for it.
type ReturnCmd struct {
	To string
	attempt.Reply
}

func (DispatchCmd) poolCmd()  {}
func (AbortCmd) poolCmd()     {}
func (CloseIdleCmd) poolCmd() {}
func (ReturnCmd) poolCmd()    {}
