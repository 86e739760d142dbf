// Package experiment runs the state machines in virtual time against small
// fakes and compares the measured figures with a baseline.
//
// A VM is a carrier of an upstream if it owns connections to that upstream and
// runs the work that other VMs delegate to it.
//
// All random choices derive from one seed, so a run can be repeated exactly.
package experiment
