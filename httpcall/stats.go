package httpcall

// Opened returns how many connections were opened so far.
func (h *Host) Opened() int { return int(h.opened.Load()) }

// Stale returns how many kept connections were found closed or with further bytes.
func (h *Host) Stale() int { return int(h.stale.Load()) }

// Open returns how many connections are open now.
func (h *Host) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.open)
}

// Peak returns the most connections that were open or being opened at once.
func (h *Host) Peak() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peak
}

// Address returns the address of the host.
func (h *Host) Address() string { return h.address }
