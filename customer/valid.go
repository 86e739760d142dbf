package customer

// Lengths of the longest name and the longest key.
const (
	MaxNameBytes = 200
	MaxKeyBytes  = 512
)

// InvalidKey is a key that no customer has. It stands for credentials that hold several
// keys or a malformed one.
const InvalidKey = " "

// ValidName reports whether a name is fit for a header: printable ASCII characters without
// a space at either end.
func ValidName(name string) bool {
	n := len(name)
	return n > 0 && n <= MaxNameBytes && isPrintable(name) && name[0] != ' ' && name[n-1] != ' '
}

// ValidKey reports whether a key is fit for a header and for a Directory: printable ASCII
// characters without spaces.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes || !isPrintable(key) {
		return false
	}
	for i := range len(key) {
		if key[i] == ' ' {
			return false
		}
	}
	return true
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
