// Package upstream keeps what one VM knows about each upstream and chooses
// the upstream for an attempt.
package upstream
