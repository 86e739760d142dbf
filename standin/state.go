package standin

// Address returns the address on which the server listens.
func (s *server) Address() string { return s.address }

// Connections counts the connections of a server.
type Connections struct {
	Open    int `json:"open"`
	Peak    int `json:"peak"`   // most connections open at the same time
	Opened  int `json:"opened"` // accepted since the start
	Refused int `json:"refused"`
}

// Connections returns the connection counts.
func (s *server) Connections() Connections {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Connections{Open: len(s.conns), Peak: s.peak, Opened: s.opened, Refused: s.refused}
}
