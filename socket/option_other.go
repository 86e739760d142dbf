//go:build !linux

package socket

import (
	"errors"
	"time"
)

// setUserTimeout does nothing where the option does not exist; keep-alive
// probes still find a silent peer.
func setUserTimeout(int, time.Duration) error { return nil }

// roundTripTimeUs is not known where the option does not exist.
func roundTripTimeUs(int) (uint32, error) { return 0, errors.ErrUnsupported }
