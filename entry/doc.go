// Package entry runs one entry VM: it serves callers and operators over HTTP,
// performs the commands of vm.Core over sockets and feeds the results back.
//
// One event loop owns the core. Everything else reaches it through messages.
package entry
