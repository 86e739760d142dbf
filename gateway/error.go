package gateway

import "fmt"

// Kind classifies an Error.
type Kind uint8

// The kinds of failures.
const (
	KindListen Kind = iota // listening on an address failed
	KindServe              // a running server failed
	KindPanic              // an unexpected error
)

var kindNames = [...]string{"listen", "serve", "panic"}

// String returns the name of k.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Error reports a failure of a listener or server of the gateway.
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
func (e *Error) Error() string { return fmt.Sprintf("gateway %s: %s: %v", e.op, e.kind, e.err) }
