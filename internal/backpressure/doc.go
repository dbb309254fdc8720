// Package backpressure keeps what backend servers ask of the fleet in their responses:
// to get no new work because they are leaving. It is pure: time is passed as an
// argument, and there is no I/O.
package backpressure
