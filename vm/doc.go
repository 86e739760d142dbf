// Package vm composes the state machines of one entry VM.
//
// Core is pure: a message and the time go in, commands come out. The entry
// package performs the commands over sockets; experiments and tests perform
// them in virtual time.
package vm
