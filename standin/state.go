package standin

// Address returns the address on which the stand-in serves.
func (s *server) Address() string { return s.address }

// Connections counts the connections of a stand-in.
type Connections struct {
	Open    int `json:"open"`
	Peak    int `json:"peak"`   // most open at once
	Opened  int `json:"opened"` // accepted so far
	Refused int `json:"refused"`
}

// Connections returns the counts of connections.
func (s *server) Connections() Connections {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Connections{Open: len(s.conns), Peak: s.peak, Opened: s.opened, Refused: s.refused}
}
