package httpstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/httpcall"
	"lentillink.example/lentillink/store"
)

// operation is the name of a call and whether it may change the store.
type operation struct {
	name   string
	writes bool
}

func readOp(name string) operation  { return operation{name: name} }
func writeOp(name string) operation { return operation{name: name, writes: true} }

// statusError is a reply with an HTTP status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("HTTP status is %d, want 200", int(e)) }

func do(ctx context.Context, host *httpcall.Host, op operation, call httpcall.Call, decode func([]byte) error) error {
	var status int
	_, err := host.Do(ctx, call, func(r httpcall.Reply) error {
		if r.Status == fasthttp.StatusOK {
			return decode(r.Body)
		}
		status = r.Status
		return nil // the reply is complete, so the connection can be reused
	})
	if err == nil && status == 0 {
		return nil
	}
	if err == nil {
		err = statusError(status)
	}
	return store.NewError(op.name, op.errorKind(err), trace.Wrap(err, "store at %s", host.Address()))
}

func (op operation) errorKind(err error) store.Kind {
	if !op.writes {
		return store.KindUnavailable
	}
	var status statusError
	if errors.As(err, &status) {
		return writeStatusKind(int(status))
	}
	var callErr *httpcall.Error
	if errors.As(err, &callErr) && !callErr.Kind().Sent() {
		return store.KindUnavailable
	}
	return store.KindUnknown
}

func writeStatusKind(status int) store.Kind {
	switch status {
	case fasthttp.StatusConflict:
		return store.KindConflict
	case fasthttp.StatusRequestEntityTooLarge:
		return store.KindTooLarge
	case fasthttp.StatusBadRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return store.KindUnavailable
	default:
		return store.KindUnknown
	}
}
