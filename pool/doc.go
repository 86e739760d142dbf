// Package pool schedules attempts on the connections that one VM owns. A VM that
// owns connections to an upstream is a carrier of it; other VMs forward their
// attempts to the carrier.
//
// Each upstream has a connection limit and bounded queues ordered by rank,
// priority and deadline. Every enqueued attempt is returned exactly once.
package pool
