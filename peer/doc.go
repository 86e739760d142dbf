// Package peer connects VMs over drpc.
//
// Each pair of VMs shares a long-lived bidirectional stream. A drpc connection
// carries one call at a time, so messages are multiplexed as envelopes on one
// streaming call, instead of one call per attempt. The first envelope in each
// direction is a hello, which names the sending VM.
package peer
