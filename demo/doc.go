// Package demo runs a whole deployment in one process: the stand-ins, several
// entry VMs and callers, and checks the invariants.
package demo
