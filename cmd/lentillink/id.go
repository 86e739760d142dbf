package main

import (
	"crypto/rand"
	"fmt"

	"lentillink.example/lentillink/clock"
)

// newID returns an identifier that carries its issue time, as orders need it.
func newID() string { return fmt.Sprintf("%d-%s", clock.System{}.Now(), rand.Text()) }
