package socket

import (
	"net"
	"syscall"
	"time"
)

// Limits of silence. A connection that is silent for about two seconds has
// lost its peer: the users' links take a few milliseconds.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	userTimeout   = 2 * time.Second
)

// Dialer returns a dialer whose connections notice a silent peer.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAlive(), Control: control}
}

// ListenConfig returns a listener configuration whose connections notice a silent peer.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: control}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = setUserTimeout(int(fd), userTimeout) })
	if err != nil {
		return err
	}
	return failed
}
