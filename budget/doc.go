// Package budget bounds the extra attempts of a service, hedges and retries, summed over
// all VMs and without messages between them.
package budget
