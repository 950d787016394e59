// Package amrcapacity learns how fast each backend server of a pool works, from the
// requests that a router has placed there.
//
// A Pool takes observations and returns estimates. It performs no I/O and reads no clock.
// The estimates of a server begin at the pool's median and return to it while there are
// no observations. See docs/design/learned-capacity.md.
package amrcapacity
