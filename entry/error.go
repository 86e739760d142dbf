package entry

import (
	"fmt"

	"github.com/gravitational/trace"
)

// Kind classifies a failure of the runtime.
type Kind string

// The kinds of failures.
const (
	KindInvalid Kind = "invalid" // a request or option is not valid
	KindListen  Kind = "listen"  // listening on an address failed
	KindServe   Kind = "serve"   // a server stopped with an error
	KindClosed  Kind = "closed"  // the VM has stopped
)

// Error reports a failed operation of the runtime.
type Error struct {
	op    string
	kind  Kind
	field string
	err   error
}

func wrap(op string, kind Kind, err error) *Error {
	return &Error{op: op, kind: kind, err: trace.Wrap(err)}
}

func invalid(field, format string, args ...any) *Error {
	return &Error{op: "decode request", kind: KindInvalid, field: field, err: fmt.Errorf(format, args...)}
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Field returns the name of the invalid request field, or "".
func (e *Error) Field() string { return e.field }

// Error formats the field and the cause, or without a field the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.field != "" {
		return fmt.Sprintf("%s: %v", e.field, e.err)
	}
	return fmt.Sprintf("entry %s: %s: %v", e.op, e.kind, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
