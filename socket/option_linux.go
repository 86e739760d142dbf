package socket

import (
	"time"

	"golang.org/x/sys/unix"
)

func setUserTimeout(fd int, d time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}
