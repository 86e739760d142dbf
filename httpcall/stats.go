package httpcall

// OpenedConns returns how many connections were opened so far.
func (h *Host) OpenedConns() int { return int(h.opened.Load()) }

// StaleConns returns how many kept connections were found closed or with further bytes.
func (h *Host) StaleConns() int { return int(h.stale.Load()) }

// OpenConns returns how many connections are open now.
func (h *Host) OpenConns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.open)
}

// PeakConns returns the most connections that were open or being opened at once.
func (h *Host) PeakConns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peak
}

// Address returns the address of the host.
func (h *Host) Address() string { return h.address }
