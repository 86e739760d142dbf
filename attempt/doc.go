// Package attempt defines one request to one upstream and its reply.
//
// An attempt is one try to run a request on one upstream; hedges and retries
// are further attempts. The types are shared by the state machines that decide
// on attempts and the adapters that send them.
//
// A carrier is a VM that owns connections to an upstream and queues and
// dispatches attempts to it, its own and those forwarded by other VMs.
package attempt
