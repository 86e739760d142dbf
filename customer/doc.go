// Package customer knows the customers of a deployment and finds the one to which a
// caller's key belongs.
//
// A Directory holds digests of the keys, never the keys, so that no log line, error or dump
// can show them.
package customer
