package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

type errorDoc struct {
	Error string `json:"error"`
}

func writeReply(ctx *fasthttp.RequestCtx, status int, doc any) {
	body, err := json.Marshal(doc)
	if err != nil {
		status, body = fasthttp.StatusInternalServerError, []byte(`{"error":"encoding failed"}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func writeError(ctx *fasthttp.RequestCtx, status int, format string, args ...any) {
	writeReply(ctx, status, errorDoc{Error: fmt.Sprintf(format, args...)})
}

// dropReply closes the connection without a reply.
func dropReply(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// writeRaw writes text in place of a reply. With keepOpen the connection stays
// open until the client closes it.
func writeRaw(ctx *fasthttp.RequestCtx, text []byte, keepOpen bool) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if _, err := c.Write(text); err == nil && keepOpen {
			_, _ = io.Copy(io.Discard, c)
		}
	})
}

func rawReply(doc any) []byte {
	body, err := json.Marshal(doc)
	if err != nil {
		return nil
	}
	return append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body)), body...)
}

// numberArg parses an unsigned query argument, or replies with status 400.
func numberArg(ctx *fasthttp.RequestCtx, name string) (uint64, bool) {
	var n uint64
	text := string(ctx.QueryArgs().Peek(name))
	if _, err := fmt.Sscanf(text, "%d", &n); err != nil || fmt.Sprint(n) != text {
		writeError(ctx, fasthttp.StatusBadRequest, "%s is %q, want a whole number", name, text)
		return 0, false
	}
	return n, true
}
