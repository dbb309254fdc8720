// Package calls reads the logs of peridotmoor-entry and accounts for each call of
// a caller. It claims only what a line says: a call without a line has no record.
package calls
