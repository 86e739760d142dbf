// Package route selects the route of a request that is forwarded unchanged.
//
// A Config is one version of the operators' configuration. A Table is its index by
// host and path prefix. Both are immutable, so that a request keeps the version
// under which it was admitted.
package route
