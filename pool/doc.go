// Package pool owns the connections of the upstreams that one VM carries.
//
// Each upstream has a limit of connections and bounded queues ordered by rank,
// priority and deadline. Every enqueued attempt is returned exactly once.
package pool
