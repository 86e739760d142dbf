// Package memory bounds the memory of what other systems send. Many connections that each
// stay below a limit of their own can still take more than a process has, so all data of one
// kind shares a Bound.
package memory
