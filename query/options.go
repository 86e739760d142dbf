package query

import "lentillink.example/lentillink/upstream"

// Option configures a Model.
type Option func(*Model)

// WithServices adds the services that can be queried.
func WithServices(list ...upstream.Service) Option {
	return func(m *Model) {
		for _, svc := range list {
			m.services[svc.Name] = newService(svc)
		}
	}
}

// WithVM sets the VM name and incarnation of the attempt IDs.
func WithVM(name string, incarnation uint64) Option {
	return func(m *Model) {
		m.vm = name
		m.incarnation = incarnation
	}
}

// WithBurst sets the size of each rank's hedge and retry token buckets.
func WithBurst(hedges, retries float64) Option {
	return func(m *Model) {
		m.budgets = newBudgets(hedges, retries)
	}
}
