package entry

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/vm"
)

// changeTimeout bounds the attempts to commit an operator's change. After it, the
// answer reports whether the change was accepted, or that this is unknown.
const changeTimeout = 5 * clock.Second

// ChangeDocument is the response body of POST /v1/presets.
type ChangeDocument struct {
	Accepted   preset.Acceptance `json:"accepted"`
	Revision   uint64            `json:"revision"`
	InForce    string            `json:"in_force"`
	Superseded bool              `json:"superseded,omitempty"`
	Error      string            `json:"error,omitempty"`
}

// serveChange applies an operator's change to the record in the store.
func (v *VM) serveChange(r *fasthttp.RequestCtx) {
	var change preset.Change
	if err := decodeStrict(r.PostBody(), &change); err != nil {
		writeInvalid(r, err)
		return
	}
	var known preset.Record
	if err := v.readCore(func(core *vm.Core, _ clock.Millis) { known = core.Record() }); err != nil {
		writeJSON(r, fasthttp.StatusServiceUnavailable, ErrorDocument{Error: err.Error(), Execution: attempt.NotExecuted})
		return
	}
	change.At = v.clock.Now()
	result := ApplyChange(r, v.store, v.clock, change, known)
	if result.Record.Revision > 0 {
		v.post(vm.PresetRecordMsg{Record: result.Record})
	}
	if applied, ok := result.Record.FindChange(change.ID); ok && result.Accepted == preset.Accepted {
		v.post(vm.PresetSwitchedMsg{Change: applied})
	}
	writeJSON(r, ChangeStatus(result), NewChangeDocument(result))
}

// NewChangeDocument returns the response body for the result of a change.
func NewChangeDocument(result preset.Result) ChangeDocument {
	doc := ChangeDocument{
		Accepted: result.Accepted, Revision: result.Record.Revision, InForce: result.Record.InForce,
		Superseded: result.Superseded,
	}
	if result.Err != nil {
		doc.Error = result.Err.Error()
	}
	return doc
}

// ApplyChange commits an operator's change to the record in a store. known is the
// newest record of this VM. changeTimeout bounds it; store calls that are still
// open one second later are cancelled.
func ApplyChange(ctx context.Context, st store.Store, cl clock.Clock, change preset.Change, known preset.Record) preset.Result {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout.Duration()+time.Second)
	defer cancel()
	committer := preset.NewCommitter(change, known, cl.Now()+changeTimeout)
	cmds := committer.Update(cl.Now(), preset.StartMsg{})
	for {
		for len(cmds) > 0 {
			cmd := cmds[0]
			cmds = cmds[1:]
			switch c := cmd.(type) {
			case preset.ResultCmd:
				return c.Result
			case preset.StoreCmd:
				reply := callStore(ctx, st, c.Request)
				cmds = append(cmds, committer.Update(cl.Now(), preset.StoreMsg{Reply: reply})...)
			}
		}
		if at, ok := committer.NextWake(); ok {
			sleep(ctx, at-cl.Now())
		}
		cmds = committer.Update(cl.Now(), preset.TickMsg{})
	}
}

func sleep(ctx context.Context, d clock.Millis) {
	timer := time.NewTimer(max(d, 1).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ChangeStatus returns the HTTP status for the result of a change.
func ChangeStatus(res preset.Result) int {
	if res.Err == nil {
		return fasthttp.StatusOK
	}
	var failed *preset.Error
	if errors.As(res.Err, &failed) {
		switch failed.Kind() {
		case preset.KindInvalid:
			return fasthttp.StatusBadRequest
		case preset.KindNotFound:
			return fasthttp.StatusNotFound
		case preset.KindConflict:
			return fasthttp.StatusConflict
		}
	}
	return fasthttp.StatusServiceUnavailable
}
