// Package calls reads the logs of peridotmoor-entry and reconstructs each call of a
// caller. It claims only what the lines state: a call without a line has no record.
package calls
