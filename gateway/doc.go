// Package gateway runs a VM that forwards requests to upstreams, as the
// operators' configuration says. It connects the state machines of packages
// relay, catalog and roster to callers, upstreams, other VMs and the platform's
// store. One event loop owns the state machines; other goroutines post messages
// to it.
package gateway
