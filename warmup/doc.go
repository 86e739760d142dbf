// Package warmup bounds what an upstream gets from all VMs together while it warms up,
// without messages between the VMs.
//
// Each VM derives its own Schedule from the list of VMs. One designated VM paces most of
// the allowance; the others take turns at the rest. Two VMs that both take themselves for
// designated, because their lists differ, stay within the bound together.
package warmup
