package gateway

import (
	"net"
	"net/http"

	"lentillink.example/lentillink/memory"
)

const (
	// defaultMemoryBytes is the memory of the process that is assumed without a setting.
	defaultMemoryBytes = 256 << 20

	// The divisors of the process's memory that give the bounds of all bodies of callers, of
	// all replies of upstreams, of all heads of requests, from callers, the balancer and
	// operators, and of all messages of other VMs, that are being read.
	bodyMemoryShare  = 8
	replyMemoryShare = 8
	headMemoryShare  = 8
	peerMemoryShare  = 8
)

// resetWhenIdle is the ConnState hook of servers whose connections are of type *memory.Conn.
func resetWhenIdle(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*memory.Conn); ok && state == http.StateIdle {
		c.Received.Reset()
	}
}
