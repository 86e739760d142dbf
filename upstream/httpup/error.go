package httpup

import "fmt"

// Kind classifies an Error.
type Kind uint8

// KindUnknownUpstream means that the upstream is not configured, KindUnavailable
// that it did not reply, KindBadReply that its reply was rejected.
const (
	KindUnknownUpstream Kind = iota
	KindUnavailable
	KindBadReply
)

var kindNames = [...]string{"unknown_upstream", "unavailable", "bad_reply"}

// String returns the name of k.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Error reports a failed Cancel or Load.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.err == nil {
		return fmt.Sprintf("upstream %s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("upstream %s: %s: %v", e.op, e.kind, e.err)
}
