//go:build !linux

package socket

import (
	"errors"
	"time"
)

// setUserTimeout does nothing on systems without the option. Keep-alive probes still
// detect an unresponsive peer.
func setUserTimeout(int, time.Duration) error { return nil }

// roundTripTimeUs returns an error on systems without the option.
func roundTripTimeUs(int) (uint32, error) { return 0, errors.ErrUnsupported }

// unacknowledged returns an error on systems without the request.
func unacknowledged(int) (int, error) { return 0, errors.ErrUnsupported }
