package order

import "fmt"

// Token identifies the holder of a claim. It is unique to one submission, so only
// the Model that created it may send or release under it.
type Token struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	Seq         uint64 `json:"seq"`
}

// String formats the token as vm/incarnation/seq.
func (t Token) String() string { return fmt.Sprintf("%s/%d/%d", t.VM, t.Incarnation, t.Seq) }

// Hash returns the form of the token in the store.
func (t Token) Hash() Hash { return HashOf(t.String()) }
