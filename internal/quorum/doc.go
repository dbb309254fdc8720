// Package quorum decides whether a holder that cannot confirm its lease may go on, and
// whether a successor may rely on it having ended. Both count instances of the fleet that
// the stored record names, so that the two answers exclude each other. It does no I/O and
// reads no clock.
package quorum
