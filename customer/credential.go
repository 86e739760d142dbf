package customer

import "strings"

// KeyIn returns the key in the values of a credential header, each of which is a scheme
// and a key. It returns "" if no value has the scheme, and InvalidKey if the keys differ or
// one is malformed. The letter case of the scheme does not matter.
func KeyIn(scheme string, values []string) string {
	key := ""
	for _, v := range values {
		sent, k, _ := strings.Cut(strings.Trim(v, " \t"), " ")
		if !strings.EqualFold(sent, scheme) {
			continue
		}
		k = strings.TrimLeft(k, " ")
		if k == "" || strings.ContainsAny(k, " \t") || key != "" && k != key {
			return InvalidKey
		}
		key = k
	}
	return key
}
