// Package roster defines the interface to the platform's list of VMs, which may
// be out of date, and the state machine that registers a VM in such a list.
package roster
