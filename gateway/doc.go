// Package gateway runs a VM that forwards requests by the operators'
// configuration. It connects the state machines of packages relay and catalog
// to callers, upstreams and the platform's store.
package gateway
