package main

import (
	"context"
	"strings"
	"testing"
)

// TestRun guards against an example that compiles but prints a wrong result.
func TestRun(t *testing.T) {
	var out strings.Builder
	if err := run(context.WithoutCancel(t.Context()), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"complete: 20000 of 20000 keys, preset ordinary, revision 1"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got %q, want %q in it", out.String(), want)
		}
	}
}
