// Package replay replays load patterns on VMs with a relay.Model each, in virtual
// time: callers that return, leave or open connections, and upstreams with slots,
// queues that shed, pauses, and work times with a tail. One seed gives one history.
package replay
