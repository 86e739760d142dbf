// Package httpcall sends HTTP calls to one host with fasthttp and classifies
// failures by whether the request may have been sent.
//
// The adapters for upstreams, the store and the VM list use it. A call is never
// repeated after a byte of it was written. An idle connection is checked before it
// is reused: if the host closed it, or bytes arrived after the last reply, it is
// replaced before anything is written. A new connection that the host closes before
// its first use is reported like a failed dial. Only complete replies are returned,
// in each form that package framing reads: a reply that is truncated, too large or
// followed by further bytes is rejected and its connection is closed.
//
// A call runs on the goroutine of its caller and sets its deadline on the
// connection, so that no buffer of fasthttp is in use after Do returns. Replies are
// copied. A running call is interrupted by the deadline of its context and by
// Close, but not by cancelling the context.
package httpcall
