// Package preset defines presets: what each rank of work gets, and which
// preset is in force.
package preset
