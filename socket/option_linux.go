package socket

import (
	"time"

	"golang.org/x/sys/unix"
)

func setUserTimeout(fd int, d time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// roundTripTimeUs returns the kernel's estimate of the round-trip time in microseconds.
func roundTripTimeUs(fd int) (uint32, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return info.Rtt, nil
}

// unacknowledged returns the bytes that were written and that the other side has not
// acknowledged.
func unacknowledged(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCOUTQ) }
