// Package order executes non-idempotent requests (orders) at most once.
//
// A Model has two roles. It handles the orders that callers submit to its VM, and
// it owns some of the partitions in which claims are stored. An order must be
// claimed in the store before it is sent, and only the Model that holds the
// claim's token sends it.
//
// Each partition is stored as a head record and sealed segments. The owner batches
// claim operations into compare-and-swap writes of the head. When the head grows
// too large, the owner seals its claims into an immutable segment.
//
// A released claim is never executed by its holder. The owner removes a claim only
// if the release has the same token. A token contains one VM, incarnation and
// sequence number, and only that Model issues releases for it, in abandon or
// refuseAndRelease. Both first take the order out of stateClaiming. SendCmd is
// issued only in that state, or before the release when the previous attempt was
// proven not to have executed. No other code releases a claim.
package order
