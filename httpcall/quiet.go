package httpcall

import "net"

// Quiet reports whether a connection is open and has nothing to read. It takes
// no bytes and does not wait.
func Quiet(c net.Conn) bool { return quiet(c) }
