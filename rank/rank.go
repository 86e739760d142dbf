package rank

import "fmt"

// Rank is the priority class of a request. A lower value is more important.
type Rank uint8

// The ranks, most important first. Patient requests tolerate the longest waits.
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

// UnmarshalText decodes the name of a rank.
func (r *Rank) UnmarshalText(b []byte) error {
	v, err := Parse(string(b))
	if err != nil {
		return err
	}
	*r = v
	return nil
}
