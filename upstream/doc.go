// Package upstream balances the attempts of one VM over the upstreams. It
// tracks the health, latency and held versions of each upstream and picks one
// for each attempt.
package upstream
