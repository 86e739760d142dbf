package store

// Op is the kind of a store call.
type Op uint8

// The calls that state machines make.
const (
	OpGet Op = iota
	OpSwap
	OpDelete
	OpWatch
)

// Request asks a runtime for one store call. Owner and Tag route the Reply back.
type Request struct {
	Requester string // the machine that asked: "order" or "fleet"
	Tag       uint64
	Op        Op
	Key       string
	Value     []byte
	Revision  uint64 // for OpSwap and OpDelete; for OpWatch the revision already known
}

// Reply is the result of a Request.
type Reply struct {
	Requester string
	Tag       uint64
	Op        Op
	Entry     Entry
	Kind      Kind
}
