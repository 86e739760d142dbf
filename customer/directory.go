package customer

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"io"
	"slices"
)

// digest identifies a key. The time that a look-up takes depends on the digest of what the
// caller sent, which reveals nothing about similar keys.
type digest [sha256.Size]byte

// Directory finds customers by key and by name. It is immutable.
type Directory struct {
	byKey  map[digest]*Customer
	byName map[string]*Customer
	sorted []*Customer
}

// NewDirectory returns a Directory of customers. The names must be unique. A key that
// several customers have belongs to none of them.
func NewDirectory(customers []Customer) *Directory {
	d := &Directory{byKey: make(map[digest]*Customer), byName: make(map[string]*Customer, len(customers))}
	for _, listed := range customers {
		c := listed
		c.Keys = nil
		d.byName[c.Name] = &c
		for _, key := range listed.Keys {
			if !ValidKey(key) {
				continue
			}
			k := digest(sha256.Sum256([]byte(key)))
			if holder, ok := d.byKey[k]; ok && holder != &c {
				d.byKey[k] = nil
				continue
			}
			d.byKey[k] = &c
		}
	}
	for _, c := range d.byName {
		d.sorted = append(d.sorted, c)
	}
	slices.SortFunc(d.sorted, func(a, b *Customer) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

// Find returns the customer that has the key. Its time does not depend on the number of
// keys. The Customer holds no keys.
func (d *Directory) Find(key string) (*Customer, bool) {
	if !ValidKey(key) {
		return nil, false
	}
	c := d.byKey[sha256.Sum256([]byte(key))]
	return c, c != nil
}

// Named returns the customer with the name. The Customer holds no keys.
func (d *Directory) Named(name string) (*Customer, bool) {
	c, ok := d.byName[name]
	return c, ok
}

// All returns the customers, sorted by name. The caller must not modify the slice.
func (d *Directory) All() []*Customer { return d.sorted }

// Len returns the number of customers.
func (d *Directory) Len() int { return len(d.sorted) }

// Format implements fmt.Formatter.
func (d *Directory) Format(f fmt.State, _ rune) {
	// A fmt.State returns no error.
	_, _ = io.WriteString(f, fmt.Sprintf("{%d customers, %d keys}", len(d.sorted), len(d.byKey)))
}
