package httpcall

import "net"

// Reusable reports whether a connection is open and has nothing to read. It takes
// no bytes and does not wait.
func Reusable(c net.Conn) bool { return reusable(c) }
