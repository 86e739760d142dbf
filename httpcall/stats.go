package httpcall

// OpenedConns returns the number of connections opened so far.
func (h *Host) OpenedConns() int { return int(h.openedConns.Load()) }

// StaleConns returns the number of idle connections that were closed by the host or
// had unread bytes when they were to be reused.
func (h *Host) StaleConns() int { return int(h.staleConns.Load()) }

// OpenConns returns the number of open connections.
func (h *Host) OpenConns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// PeakConns returns the highest number of connections that were open or being
// opened at the same time.
func (h *Host) PeakConns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peakConns
}

// Address returns the address of the host.
func (h *Host) Address() string { return h.address }
