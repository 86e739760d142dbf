package gateway

import (
	"io"
	stdlog "log"
)

// discardLog returns a logger that drops the messages of net/http about broken
// connections. The gateway reports failures as events and metrics.
func discardLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
