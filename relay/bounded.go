package relay

// boundedMap is a map that holds at most max entries. A further entry replaces the one
// that was added first.
type boundedMap[K comparable, V any] struct {
	max     int
	entries map[K]V
	order   []K // in the order in which they were added
}

func newBoundedMap[K comparable, V any](n int) boundedMap[K, V] {
	return boundedMap[K, V]{max: n, entries: make(map[K]V)}
}

// get returns the value of a key, or the zero value.
func (b *boundedMap[K, V]) get(key K) V { return b.entries[key] }

// set adds or replaces an entry.
func (b *boundedMap[K, V]) set(key K, value V) {
	if _, ok := b.entries[key]; !ok {
		if len(b.order) >= b.max {
			delete(b.entries, b.order[0])
			b.order = b.order[1:]
		}
		b.order = append(b.order, key)
	}
	b.entries[key] = value
}
