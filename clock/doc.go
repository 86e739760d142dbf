// Package clock defines time in milliseconds and a hybrid logical clock.
//
// State machines take the current time as a Millis argument and never read
// a clock themselves. Runtimes read a Clock.
package clock
