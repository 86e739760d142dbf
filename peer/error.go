package peer

import (
	"fmt"

	"github.com/gravitational/trace"
)

// Kind classifies a failure of the communication between VMs.
type Kind string

// The kinds of failures.
const (
	KindDial    Kind = "dial"
	KindStream  Kind = "stream"
	KindDecode  Kind = "decode"
	KindServe   Kind = "serve"
	KindNoHello Kind = "no_hello"
)

// Error reports a failure of the communication between VMs.
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
func (e *Error) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.op, e.kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
