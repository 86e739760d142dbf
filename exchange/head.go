package exchange

import "bytes"

// RemoveFields returns the head of a request without the fields that drop reports by name.
// It returns head itself if there are none.
func RemoveFields(head []byte, drop func(name string) bool) []byte {
	kept, changed := []byte(nil), false
	for rest := head; len(rest) > 0; {
		line := rest
		if i := bytes.IndexByte(rest, '\n'); i >= 0 {
			line = rest[:i+1]
		}
		start := len(head) - len(rest)
		rest = rest[len(line):]
		name, _, isField := bytes.Cut(line, []byte(":"))
		if start > 0 && isField && drop(string(bytes.TrimSpace(name))) {
			if !changed {
				kept, changed = append(kept, head[:start]...), true
			}
			continue
		}
		if changed {
			kept = append(kept, line...)
		}
	}
	if !changed {
		return head
	}
	return kept
}
