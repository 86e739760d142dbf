// Package socket sets the options of TCP connections on which a peer can fall
// silent without a reset: keep-alive probes find a silent peer on an idle
// connection, and a user timeout finds one that does not acknowledge.
package socket
