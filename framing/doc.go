// Package framing reads the replies of HTTP/1.1 servers, by the rules of RFC 9112 for the length
// of a message.
//
// Replies of the store, of upstreams and of their health checks are read here, so that each form
// that a server may choose is accepted by all of them: a body with a length, in chunks with
// extensions and trailers, or up to the end of the connection; replies without a body; and
// interim replies before the final one. What is read of a reply is bounded in bytes, and its
// memory is reserved as the bytes arrive.
package framing
