package relay

import (
	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/route"
)

// identify returns the customer of a request, nil if it has none. It is not ok if the
// request needs the key of a customer and has none, or has one that no customer has.
func (m *Model) identify(rt *route.Route, key string) (c *customer.Customer, ok bool) {
	customers := m.table.Customers()
	switch {
	case customers.Len() == 0:
		return nil, true
	case key == "":
		return nil, rt.Anonymous
	}
	return customers.Find(key)
}

// setCustomer sets the customer of a request, if it has one.
func (r *request) setCustomer(c *customer.Customer) {
	if c != nil {
		r.customer, r.priority.customer = c.Name, c.Priority
	}
}
