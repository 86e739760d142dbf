package socket

import (
	"net"
	"syscall"
	"time"
)

// Limits of unresponsive connections. If a peer does not respond for about two
// seconds, the connection is broken: the round-trip time of the users' links is a few
// milliseconds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	userTimeout       = 2 * time.Second
)

// Dialer returns a dialer whose connections fail when the peer becomes unresponsive.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAlive(), Control: setOptions}
}

// ListenConfig returns a listener configuration whose connections fail when the peer
// becomes unresponsive.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setOptions}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

func setOptions(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) { optErr = setUserTimeout(int(fd), userTimeout) })
	if err != nil {
		return err
	}
	return optErr
}
