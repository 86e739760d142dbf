package httpcall

import "net"

// Reusable reports whether a connection is open and has no unread bytes. It does
// not block and consumes no bytes.
func Reusable(c net.Conn) bool { return reusable(c) }
