// Package relay forwards requests unchanged: to one upstream, or to one
// upstream of each shard with the replies merged into one answer.
//
// A carrier is a VM that owns most of the connections to the upstreams of its
// data centre. Other VMs delegate their sub-requests for those shards to it, and it
// returns the merged replies.
//
// Model is a pure state machine for one VM. It selects upstreams, issues hedges
// and retries within the fleet-wide budget, queues or refuses requests, and
// decides when to answer. It reads no clock, socket or global random source.
package relay
