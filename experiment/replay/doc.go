// Package replay replays load patterns on VMs in virtual time, with a relay.Model
// per VM. It simulates callers that retry and open connections, and upstreams
// with limited slots, queues that shed load, pauses and a long tail of service
// times. All random choices derive from one seed, so a run can be repeated exactly.
//
// A VM is a carrier of an upstream if it owns connections to that upstream and
// runs the work that other VMs delegate to it.
package replay
