package settings

import (
	"fmt"
	"strings"
)

// Kind classifies an Error.
type Kind uint8

// KindRead means that the file cannot be read, KindSyntax that it is not JSON,
// KindInvalid that fields were rejected, KindUnknownDeployment that no example
// has the given name.
const (
	KindRead Kind = iota
	KindSyntax
	KindInvalid
	KindUnknownDeployment
)

var kindNames = [...]string{"read", "syntax", "invalid", "unknown_deployment"}

// String returns the name of k.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid_kind"
}

// Problem is one rejected field.
type Problem struct {
	Path   string `json:"path"`
	Reason string `json:"reason"` // includes the accepted values
}

// String formats the path and the reason.
func (p Problem) String() string { return p.Path + ": " + p.Reason }

// Error reports why settings were rejected.
type Error struct {
	op       string
	kind     Kind
	err      error
	problems []Problem
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the kind of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Problems returns all rejected fields in the order of the checks.
func (e *Error) Problems() []Problem { return append([]Problem(nil), e.problems...) }

// Error formats the operation, the kind, the cause and one line per problem.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings %s: %s", e.op, e.kind)
	if e.err != nil {
		fmt.Fprintf(&b, ": %v", e.err)
	}
	for _, p := range e.problems {
		b.WriteString("\n  " + p.String())
	}
	return b.String()
}
