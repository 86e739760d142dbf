// Package vm combines the state machines of one entry VM.
//
// Core is pure: Update takes a message and the time and returns commands. The
// entry package performs the commands over sockets; experiments and tests
// perform them in virtual time.
//
// Each upstream has two carriers, the VMs that hold connections to it. Every
// other VM forwards its attempts on that upstream to one of them.
package vm
