package gateway

import (
	"io"
	stdlog "log"
)

// discardLog drops what net/http prints about broken connections; events and
// metrics cover what matters.
func discardLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
