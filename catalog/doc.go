// Package catalog follows what the store says of the configuration and of the
// upstreams, and decides when to read and when to believe a removal.
//
// Model is a pure state machine. It makes one call at a time: a whole read
// first, then watches, with a whole read again when the history is gone and at
// a slow pace, because a watch can be silent without being cut.
package catalog
