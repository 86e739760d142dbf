package timeline

import (
	"fmt"

	"github.com/gravitational/trace"
)

// ErrorKind is the class of a failure.
type ErrorKind string

// KindInvalid is an invalid input. KindIO is a failed write.
const (
	KindInvalid ErrorKind = "invalid"
	KindIO      ErrorKind = "io"
)

// Error is a failed operation on events.
type Error struct {
	op   string
	kind ErrorKind
	err  error
}

func newError(op string, kind ErrorKind, err error) *Error {
	return &Error{op: op, kind: kind, err: trace.Wrap(err)}
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the failure.
func (e *Error) Kind() ErrorKind { return e.kind }

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("timeline %s: %s: %v", e.op, e.kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
