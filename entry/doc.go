// Package entry runs one entry VM: it serves callers and operators over HTTP,
// performs the commands of vm.Core over sockets and feeds the results back.
//
// A caller that goes away is not noticed: fasthttp reports a closed connection
// only when the answer is written. Its query runs to its end or its deadline.
//
// One event loop owns the core. Everything else reaches it through messages.
package entry
