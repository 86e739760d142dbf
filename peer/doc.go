// Package peer connects VMs over drpc.
//
// Each pair of VMs shares a long-lived bidirectional stream. A drpc connection
// carries one call at a time, so attempts are multiplexed as envelopes on that
// one call instead of one call per attempt.
package peer
