// Package store defines the interface to the platform's configuration store:
// a small key-value service with compare-and-swap, leases and watches.
//
// Runtimes call Store. State machines exchange Request and Reply values.
package store
