// Package query runs queries: it chooses the snapshot version, fans out to one
// upstream of every group, sends hedges and retries, and merges the replies.
//
// The upstreams of a group are replicas that hold the same keys. A carrier is
// a VM that owns connections to an upstream; attempts are sent through it.
//
// Model is a pure state machine without I/O. A runtime executes its commands
// and reports the results as messages.
package query
