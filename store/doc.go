// Package store defines the interface to the platform's configuration store,
// a small key-value service with compare-and-swap, leases and watches.
//
// Runtimes call Store. State machines do no I/O: they emit a Request, a runtime
// makes the call and passes the Reply back.
package store
