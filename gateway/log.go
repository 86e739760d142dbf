package gateway

import (
	"io"
	stdlog "log"
)

// quietLog drops what net/http prints about broken connections; events and
// metrics cover what matters.
func quietLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
