// Package fleet keeps the membership of the entry VMs, chooses owners and
// carriers, and disseminates the preset record and reports about upstreams.
//
// Model is a pure state machine. Its files divide the work: probe.go finds
// failed members, merge.go orders claims about members, gossip.go spreads
// changes, sync.go repairs differences, record.go and storesync.go keep the
// record, report.go keeps upstream reports, query.go only reads.
package fleet
