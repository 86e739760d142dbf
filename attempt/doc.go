// Package attempt defines one request to one upstream and its reply.
//
// It is shared by the machines that decide and the adapters that send.
package attempt
