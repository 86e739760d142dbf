package query

import "lentillink.example/lentillink/upstream"

// Option configures a Model.
type Option func(*Model)

// WithServices sets the services that queries may name.
func WithServices(list ...upstream.Service) Option {
	return func(m *Model) {
		for _, svc := range list {
			m.services[svc.Name] = newService(svc)
		}
	}
}

// WithVM sets the name and incarnation that attempt identifiers carry.
func WithVM(name string, incarnation uint64) Option {
	return func(m *Model) {
		m.vm = name
		m.incarnation = incarnation
	}
}

// WithBurst bounds the hedges and retries that a rank may save up while it needs none.
func WithBurst(hedges, retries float64) Option {
	return func(m *Model) {
		m.budgets = newBudgets(hedges, retries)
	}
}
