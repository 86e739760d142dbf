package main

import (
	"crypto/rand"
	"fmt"

	"lentillink.example/lentillink/clock"
)

// newID returns an identifier that contains its issue time, as orders require.
func newID() string { return fmt.Sprintf("%d-%s", clock.System{}.Now(), rand.Text()) }
