// Package coverage merges the replies of a query and tracks which keys of the
// service its answer covers.
//
// A service's key space is [0, keys). One key is one plot or pond.
package coverage
