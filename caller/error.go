package caller

import (
	"fmt"

	"github.com/gravitational/trace"
)

// Kind classifies a failed call.
type Kind string

// The kinds of failures.
const (
	KindInvalid     Kind = "invalid"     // the request is not valid
	KindUnavailable Kind = "unavailable" // the VM cannot be reached or cannot serve the request
	KindDecode      Kind = "decode"      // the response is not the expected JSON
)

// Error reports a failed call.
type Error struct {
	op   string
	kind Kind
	err  error
}

func wrap(op string, kind Kind, err error) *Error {
	return &Error{op: op, kind: kind, err: trace.Wrap(err)}
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.op, e.kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
