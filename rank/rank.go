package rank

import "fmt"

// Rank orders work by importance. A lower value is more important.
type Rank uint8

// Urgent, Ordinary and Patient are the ranks.
const (
	Urgent Rank = iota
	Ordinary
	Patient

	// Count is the number of ranks.
	Count = 3
)

var names = [Count]string{"urgent", "ordinary", "patient"}

// All returns every rank, most important first.
func All() [Count]Rank { return [Count]Rank{Urgent, Ordinary, Patient} }

// Parse returns the rank with the given name.
func Parse(s string) (Rank, error) {
	for i, name := range names {
		if s == name {
			return Rank(i), nil
		}
	}
	return 0, fmt.Errorf("rank %q is not one of urgent, ordinary, patient", s)
}

// String returns the name of r.
func (r Rank) String() string {
	if int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("rank(%d)", uint8(r))
}

// MarshalText encodes r as its name.
func (r Rank) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes a name.
func (r *Rank) UnmarshalText(b []byte) error {
	v, err := Parse(string(b))
	if err != nil {
		return err
	}
	*r = v
	return nil
}
