package version

import (
	"fmt"
)

// StaleStoreError means that the store holds an older version than the one in effect,
// for example after it was restored from a backup.
type StaleStoreError struct {
	Stored   uint64 // 0 if the store holds none
	InEffect uint64
}

// Error describes both versions and how to proceed.
func (e *StaleStoreError) Error() string {
	return fmt.Sprintf("the store holds version %d but version %d is in effect; instances repair the store within seconds of its return, wait and apply again", e.Stored, e.InEffect)
}
