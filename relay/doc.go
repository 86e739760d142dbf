// Package relay decides what happens to a request that is forwarded unchanged:
// to one upstream, or to one upstream of every shard, whose parts it merges.
//
// Model is a pure state machine for one VM. It chooses upstreams, sends hedges
// and retries within the budget of the fleet, lets requests wait or refuses
// them, and decides when an answer is due. Nothing in it reads a clock, a
// socket or a global random source.
package relay
