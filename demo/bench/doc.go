// Package bench measures one entry VM against stand-in upstreams in the same
// process, with hedging off and on in the same invocation.
package bench
