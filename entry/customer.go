package entry

import (
	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/customer"
)

// credentialScheme comes before the key in the Authorization header of a caller.
const credentialScheme = "Bearer"

// identify returns the name of the caller's customer, "" if the deployment has none. It is
// not ok if no customer has the key that the caller sent.
func (v *VM) identify(r *fasthttp.RequestCtx) (name string, ok bool) {
	if v.customers.Len() == 0 {
		return "", true
	}
	var values []string
	for _, value := range r.Request.Header.PeekAll(fasthttp.HeaderAuthorization) {
		values = append(values, string(value))
	}
	c, ok := v.customers.Find(customer.KeyIn(credentialScheme, values))
	if !ok {
		return "", false
	}
	return c.Name, true
}

func writeUnauthorized(r *fasthttp.RequestCtx) {
	r.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, credentialScheme)
	writeJSON(r, fasthttp.StatusUnauthorized, ErrorDocument{Error: "no customer has the key that was sent", Execution: attempt.NotExecuted})
}
