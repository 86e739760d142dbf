// Package coverage counts which keys of a service an answer covers.
//
// A service's key space is [0, keys). One key is one plot or pond.
package coverage
