package settings

import (
	"encoding/json"
	"fmt"

	"lentillink.example/lentillink/customer"
)

// Customer is one customer whose callers send a key. If there are any, requests without a
// key of one are rejected.
type Customer struct {
	Name string `json:"name"`
	Keys []Key  `json:"keys"`
}

// Key is the key of a customer. Its text and its JSON hide it.
type Key string

const hiddenKey = "(hidden)"

// String implements fmt.Stringer.
func (Key) String() string { return hiddenKey }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return hiddenKey }

// MarshalJSON implements json.Marshaler.
func (Key) MarshalJSON() ([]byte, error) { return json.Marshal(hiddenKey) }

// Customers returns the customers, without any if the deployment has none.
func (s *Settings) Customers() *customer.Directory {
	out := make([]customer.Customer, 0, len(s.doc.Customers))
	for _, c := range s.doc.Customers {
		converted := customer.Customer{Name: c.Name}
		for _, k := range c.Keys {
			converted.Keys = append(converted.Keys, string(k))
		}
		out = append(out, converted)
	}
	return customer.NewDirectory(out)
}

// checkCustomers rejects names and keys that are not fit or appear twice. The reasons name
// keys by their paths only.
func (c *checker) checkCustomers(customers []Customer) {
	names, keys := make(map[string]string), make(map[Key]string)
	for i, cu := range customers {
		path := fmt.Sprintf("customers[%d]", i)
		if !customer.ValidName(cu.Name) {
			c.reject(path+".name", "has %d bytes, want 1 to %d printable ASCII characters without a space at either end", len(cu.Name), customer.MaxNameBytes)
		}
		c.checkUnique(names, path+".name", cu.Name)
		for j, k := range cu.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, j)
			if !customer.ValidKey(string(k)) {
				c.reject(keyPath, "has %d bytes, want 1 to %d printable ASCII characters without spaces", len(k), customer.MaxKeyBytes)
			}
			if first, ok := keys[k]; ok {
				c.reject(keyPath, "is the same as %s, want a unique key", first)
				continue
			}
			keys[k] = keyPath
		}
	}
}
