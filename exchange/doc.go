// Package exchange sends requests to upstreams over kept HTTP/1.1 connections
// and reports how each ended.
//
// Every connection has one reader that always reads, so that a connection that
// the upstream closes, or on which bytes arrive that nobody asked for, is never
// used again. A reply counts only if it is whole and answers the request that
// is open on its connection.
package exchange
