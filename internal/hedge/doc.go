// Package hedge decides when a second attempt of a slow request is worth sending, and
// limits how many there are. It reads no clock and does no I/O.
package hedge
