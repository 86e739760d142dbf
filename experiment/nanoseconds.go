package experiment

import "time"

var processStart = time.Now() //nolint:forbidigo // measures processor time, decides nothing

// nanoseconds returns the time since the process started.
func nanoseconds() int64 { return time.Since(processStart).Nanoseconds() } //nolint:forbidigo // as above
