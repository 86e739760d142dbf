// Package socket sets the options of TCP connections that detect a peer which
// becomes unresponsive without a reset: keep-alive probes detect it on an idle
// connection, and the TCP user timeout on one with unacknowledged data. It also
// reads the kernel's estimate of the round-trip time.
package socket
