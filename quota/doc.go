// Package quota limits how many requests of a customer run in a second, summed over all
// VMs.
//
// Customers are hashed into groups. A group has at most one owner, the VM whose claim
// stands in the store under a lease. Only the owner grants a customer's main credit, from
// a token bucket. The other VMs ask it for credit and hold what they get for a short time.
// If the owner cannot be reached, a few deputies grant from a reserve, which is a fixed
// part of what the limit may be exceeded by.
//
// Model is a pure state machine without I/O.
package quota
