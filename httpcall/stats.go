package httpcall

// OpenedConns returns how many connections were opened so far.
func (h *Host) OpenedConns() int { return int(h.openedConns.Load()) }

// StaleConns returns how many kept connections were found closed or with further bytes.
func (h *Host) StaleConns() int { return int(h.staleConns.Load()) }

// OpenConns returns how many connections are open now.
func (h *Host) OpenConns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// PeakConns returns the most connections that were open or being opened at once.
func (h *Host) PeakConns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peakConns
}

// Address returns the address of the host.
func (h *Host) Address() string { return h.address }
