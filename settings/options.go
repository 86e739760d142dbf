package settings

// Option changes an example.
type Option func(*example)

// WithPortBase sets the lowest port of an example. Its addresses use fewer than 400 ports from there.
func WithPortBase(port int) Option { return func(e *example) { e.portBase = port } }

// WithVM sets which VM the example is for, from 1 to 9.
func WithVM(n int) Option { return func(e *example) { e.vm = n } }
