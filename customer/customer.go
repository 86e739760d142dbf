package customer

import (
	"fmt"
	"io"
)

// Customer is one customer of a deployment.
type Customer struct {
	Name     string
	Keys     []string // that its callers send, without blanks; all of them are in force
	Priority int      // 0 is the most urgent
	RatePerS float64  // limit of its requests a second, summed over all VMs; 0 for none
	Burst    float64  // requests beyond the rate
}

// Format implements fmt.Formatter. It leaves out the keys.
func (c Customer) Format(f fmt.State, _ rune) {
	// A fmt.State returns no error.
	_, _ = io.WriteString(f, fmt.Sprintf("{%s priority %d, %g/s, burst %g}", c.Name, c.Priority, c.RatePerS, c.Burst))
}
