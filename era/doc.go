// Package era decides when what a store holds may be used after it has come back from an
// older copy.
//
// The store states an era, which rises each time it comes back from a copy. What was written
// after the copy was made is then missing until it is written again. A VM that starts at that
// time would bring back what was withdrawn: a customer's key, a route, a preset, an upstream
// that has left. A Guard keeps a VM that starts from using anything until the VMs have
// recorded that the era is settled, or until it has read the store for long enough itself.
package era
