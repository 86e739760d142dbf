// Package caller is a client for the HTTP interface of an entry VM.
package caller
