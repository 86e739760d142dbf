package cost

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Features is what a request shows before it runs.
type Features struct {
	Route     string
	Customer  string // empty if it has none
	Method    string
	Path      string // after the prefix of the route, with the query
	BodyBytes int
}

// levels is the number of keys of a request.
const levels = 6

const (
	levelRoute = iota
	levelCustomer
	levelSize
	levelPart  // first part of the path
	levelParts // first two parts
	levelSame  // the same request
)

// Keys identify the features of a request, from coarse to fine. All VMs compute the same.
type Keys [levels]uint64

// maxHashedBytes bounds the bytes of a path that are read.
const maxHashedBytes = 1024

// KeysOf returns the keys of a request.
func KeysOf(f Features) Keys {
	route := xxhash.Sum64String(f.Route)
	path := f.Path[:min(len(f.Path), maxHashedBytes)]
	first := partEnd(path, 0)
	second := partEnd(path, first)
	size := uint64(bits.Len(uint(max(f.BodyBytes, 0))))
	same := xxhash.Sum64String(path) + xxhash.Sum64String(f.Method)
	return Keys{
		levelRoute:    route,
		levelCustomer: mix(route, xxhash.Sum64String(f.Customer), levelCustomer),
		levelSize:     mix(route, size<<8|uint64(bits.Len(uint(len(f.Path)))), levelSize),
		levelPart:     mix(route, xxhash.Sum64String(path[:first]), levelPart),
		levelParts:    mix(route, xxhash.Sum64String(path[:second]), levelParts),
		levelSame:     mix(route, same+uint64(f.BodyBytes)<<20+uint64(len(f.Path)), levelSame),
	}
}

// partEnd returns the end of the part of a path that begins at from. Parts are separated
// by slashes, and in the query by & as well.
func partEnd(path string, from int) int {
	for i := from + 1; i < len(path); i++ {
		switch path[i] {
		case '/', '?', '&':
			return i
		}
	}
	return len(path)
}

// mix combines hashes with a level, so that the same value means another key on each.
func mix(route, value, level uint64) uint64 {
	x := route ^ value*0x9e3779b97f4a7c15 ^ level<<56
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
