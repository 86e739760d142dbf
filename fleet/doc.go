// Package fleet tracks the membership of the entry VMs with a SWIM-style gossip
// protocol, selects the VMs that watch the store, and disseminates the preset
// record and reports about leaving upstreams.
//
// Model is a pure state machine without I/O. Its code is divided as follows:
// probe.go detects failed members, merge.go merges updates about members,
// gossip.go disseminates changes, sync.go repairs differences (anti-entropy),
// record.go and storesync.go replicate the preset record, report.go keeps
// upstream reports, rendezvous.go selects members by rendezvous hashing, and
// query.go holds the read-only methods.
package fleet
