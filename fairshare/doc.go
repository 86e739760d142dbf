// Package fairshare divides room between customers: max-min, weighted, by start-time fair
// queueing (Goyal, Vin, Cheng 1996) with a tolerance for bursts.
//
// An Account covers the customers that compete for the same room. Each has a Flow, which is
// charged for what it is given. Work of the flow with the lowest tag goes first. A flow that
// uses no more than its share has the tag of the Account's virtual time, like all others of
// its kind, so that their work stays in the order that it has without shares. Room that
// others leave goes to the flows above their share and is not held against them later: a
// tag exceeds the virtual time by the cost of one charge at most.
package fairshare
