// Package exchange sends requests to upstreams over persistent HTTP/1.1
// connections and reports the result of each.
//
// A goroutine reads from every connection, also while it is idle. A connection
// that the upstream closes, or on which unexpected bytes arrive, is therefore
// never used again. A reply is accepted only if it is complete and belongs to
// the request that is pending on its connection.
package exchange
