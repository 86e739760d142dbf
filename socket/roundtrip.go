package socket

import (
	"net"
	"syscall"

	"lentillink.example/lentillink/clock"
)

const usPerMs = 1000

// RoundTripTime returns the kernel's estimate of the round-trip time of a TCP
// connection, rounded up. It returns false if there is no estimate.
func RoundTripTime(nc net.Conn) (clock.Millis, bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var us uint32
	var optErr error
	if err := raw.Control(func(fd uintptr) { us, optErr = roundTripTimeUs(int(fd)) }); err != nil || optErr != nil || us == 0 {
		return 0, false
	}
	return clock.Millis((us + usPerMs - 1) / usPerMs), true
}
