// Package timeline records the typed events of one VM in a ring buffer and
// merges the events of all VMs.
package timeline
