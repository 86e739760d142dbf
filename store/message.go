package store

// Op is the kind of a store call.
type Op uint8

// The kinds of calls that state machines make.
const (
	OpGet Op = iota
	OpSwap
	OpDelete
	OpWatch
)

// Request asks a runtime for one store call. Requester and Tag are copied to the
// Reply and identify its receiver.
type Request struct {
	Requester string // state machine that made the request: "order", "fleet" or "preset"
	Tag       uint64
	Op        Op
	Key       string
	Value     []byte
	Revision  uint64 // expected revision for OpSwap and OpDelete; last known revision for OpWatch
}

// Reply is the result of a Request.
type Reply struct {
	Requester string
	Tag       uint64
	Op        Op
	Entry     Entry
	Kind      Kind
}
