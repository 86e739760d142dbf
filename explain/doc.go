// Package explain holds the question where a request would go now, and the document that
// answers it. A VM answers from its state machines and changes nothing.
package explain
