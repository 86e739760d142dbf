// Package settings reads the JSON settings of one daemon.
//
// Decoding is strict. Unknown fields, repeated fields, values of the wrong
// type, duplicate addresses or names, and key ranges that overlap, leave gaps
// or exceed the key space are rejected. All problems of a file are reported
// together, each with the path of its field and the accepted values.
package settings
