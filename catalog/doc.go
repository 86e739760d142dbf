// Package catalog mirrors the keys of the configuration and of the upstreams in
// the store. It decides when to read the store and when to report a removed key.
//
// Model is a pure state machine without I/O. It first reads the list of the store page by page
// (a pass), then watches its changes; a pass that takes long has a watch beside it. It reads the
// list again when the store no longer has the history that a watch needs, and at a long interval,
// because a watch can stop delivering events without an error.
//
// To save store calls, most VMs do not watch the store. They subscribe to a
// publisher, a VM that does so and sends its changes to its subscribers.
package catalog
