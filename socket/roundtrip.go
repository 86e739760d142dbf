package socket

import (
	"net"

	"lentillink.example/lentillink/clock"
)

const usPerMs = 1000

// RoundTripTime returns the kernel's estimate of the round-trip time of a TCP
// connection, rounded up. It returns false if there is no estimate.
func RoundTripTime(nc net.Conn) (clock.Millis, bool) {
	var us uint32
	ok := control(nc, func(fd int) (err error) {
		us, err = roundTripTimeUs(fd)
		return err
	})
	if !ok || us == 0 {
		return 0, false
	}
	return clock.Millis((us + usPerMs - 1) / usPerMs), true
}
