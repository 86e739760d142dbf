// Package experiment runs the state machines in virtual time against small
// fakes and reports figures beside a baseline.
//
// One seed gives one history, so the figures repeat exactly.
package experiment
