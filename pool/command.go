package pool

import "lentillink.example/lentillink/attempt"

// Cmd is a command that a Model returns for the runtime to execute.
type Cmd interface{ poolCmd() }

// DispatchCmd sends an attempt on a connection. NewConn is set if there is no
// idle connection, so that a new one must be opened.
type DispatchCmd struct {
	attempt.Request
	NewConn bool
}

// AbortCmd cancels a running attempt at the upstream. The runtime responds with
// a ReplyMsg, or with an AbortedMsg once the connection is closed.
type AbortCmd struct {
	ID       attempt.ID
	Upstream string
}

// CloseIdleCmd closes the connections that have been idle longest until Keep idle
// ones remain.
type CloseIdleCmd struct {
	Upstream string
	Keep     int
}

// ReturnCmd returns the result of an attempt to the VM that sent it.
type ReturnCmd struct {
	To string
	attempt.Reply
}

func (DispatchCmd) poolCmd()  {}
func (AbortCmd) poolCmd()     {}
func (CloseIdleCmd) poolCmd() {}
func (ReturnCmd) poolCmd()    {}
