// Package httpcall makes one HTTP call to one host over fasthttp and tells
// whether the request may have left.
//
// The adapters for upstreams, the store and the VM list build on it. A call
// is never repeated after a byte of it was written. A kept connection is
// checked before its next use: a connection that the host closed, or on which
// bytes arrived after the last reply, is replaced before anything is written.
// A new connection that the host closed before its first use counts as not opened.
// A reply counts only if it is whole; a reply that is cut, too large, or
// followed by further bytes is refused and its connection is closed.
//
// A call runs on the goroutine of its caller and sets its deadline on the
// connection, so no buffer of fasthttp is in use when Do returns. Replies are
// copied. Cancelling the context of a running call does not interrupt it; the
// context's deadline does, and so does Close.
package httpcall
