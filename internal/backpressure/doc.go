// Package backpressure keeps what backend servers ask of the fleet in their responses:
// to get no new work because they are leaving, no requests from one instance for a
// while, or only so many requests/s from all instances together. It is pure: time is
// passed as an argument, and there is no I/O.
package backpressure
