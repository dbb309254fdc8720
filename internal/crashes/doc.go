// Package crashes remembers the requests that may have crashed backend servers. Each
// instance remembers the losses that it has seen itself and those that others have told, so
// that neither the end of a holder nor that of an instance makes the fleet forget them. A
// loss has an ID and a time, so that it counts once and no longer however often it is told.
// The package does no I/O and reads no clock.
package crashes
