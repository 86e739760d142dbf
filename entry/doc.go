// Package entry runs one entry VM: it serves callers and operators over HTTP,
// performs the commands of vm.Core over sockets and passes the results to the core
// as messages.
//
// One event loop owns the core. Other goroutines access it only through channels
// to the loop.
//
// The disconnect of a caller is not detected, because fasthttp reports a closed
// connection only when the answer is written. The query runs to completion or to
// its deadline.
package entry
