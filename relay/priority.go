package relay

import "cmp"

// priority orders work: by the customer's priority, then by the route's. In both 0 is the
// most urgent. A request without a customer is among the customers that have the priority
// of its route.
type priority struct{ customer, route int }

// routePriority returns the priority of a request without a customer.
func routePriority(route int) priority { return priority{customer: route, route: route} }

// priority returns the priority of a delegated request.
func (t Terms) priority() priority {
	if t.Customer == "" {
		return routePriority(t.Priority)
	}
	return priority{customer: t.CustomerPriority, route: t.Priority}
}

// precedes reports whether work of priority p goes before that of priority o.
func (p priority) precedes(o priority) bool {
	if p.customer != o.customer {
		return p.customer < o.customer
	}
	return p.route < o.route
}

func (p priority) compare(o priority) int {
	return cmp.Or(cmp.Compare(p.customer, o.customer), cmp.Compare(p.route, o.route))
}
