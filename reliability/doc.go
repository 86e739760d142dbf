// Package reliability estimates how likely an attempt at an upstream is to bring no reply
// that counts: because the upstream refuses it, fails, or loses the reply.
package reliability
