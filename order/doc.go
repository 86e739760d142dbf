// Package order runs non-idempotent requests at most once.
//
// A Model is the entry side of the orders submitted to its VM and the owner of
// claim partitions. An order is claimed in the store before it is sent, and
// only the Model that holds the claim's token ever sends it.
//
// Why a released claim is never run by its holder: a release names a token, and
// the owner removes a claim only if its token is the same. A token names one
// VM, incarnation and sequence number, and only that Model issues a release for
// it, from abandon or settle. Both first take the order out of the claiming
// state, and SendCmd is issued only in that state or after an attempt that
// proved not run, before the release. No other path releases a claim.
package order
