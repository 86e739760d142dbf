package roster

import "context"

// VM is one entry of the VM list.
type VM struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // host:port at which other VMs connect
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
}

// List is the platform's list of live and leaving VMs. Errors are of type *Error.
type List interface {
	VMs(ctx context.Context) ([]VM, error)
}
