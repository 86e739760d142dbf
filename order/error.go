package order

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind uint8

// The kinds of errors.
const (
	KindBadID ErrorKind = iota
	KindCorrupt
)

var errorKindNames = [...]string{"bad_id", "corrupt"}

// String returns the name of k.
func (k ErrorKind) String() string {
	if int(k) < len(errorKindNames) {
		return errorKindNames[k]
	}
	return "invalid"
}

// Error reports an invalid order id or a corrupt record.
type Error struct {
	op   string
	kind ErrorKind
	err  error
}

func newError(op string, kind ErrorKind, err error) *Error {
	return &Error{op: op, kind: kind, err: err}
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the failure.
func (e *Error) Kind() ErrorKind { return e.kind }

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.err == nil {
		return fmt.Sprintf("order %s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("order %s: %s: %v", e.op, e.kind, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
