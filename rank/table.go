package rank

// Table holds one value per rank.
type Table[T any] struct {
	values [Count]T
}

// NewTable returns a table with the value of each rank.
func NewTable[T any](urgent, ordinary, patient T) Table[T] {
	return Table[T]{values: [Count]T{urgent, ordinary, patient}}
}

// At returns the value of r.
func (t *Table[T]) At(r Rank) T { return t.values[r] }

// Ref returns a pointer to the value of r.
func (t *Table[T]) Ref(r Rank) *T { return &t.values[r] }

// Set stores the value of r.
func (t *Table[T]) Set(r Rank, v T) { t.values[r] = v }
