package settings

// Option configures Example.
type Option func(*example)

// WithPortBase sets the lowest port. An example uses fewer than 400 ports from there.
func WithPortBase(port int) Option { return func(e *example) { e.portBase = port } }

// WithVM sets the number of the VM whose settings are returned, from 1 to 9.
func WithVM(n int) Option { return func(e *example) { e.vm = n } }
