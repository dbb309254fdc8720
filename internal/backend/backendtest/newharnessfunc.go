package backendtest

import (
	"testing"
)

// NewHarnessFunc returns a new harness for one case.
type NewHarnessFunc func(t *testing.T, options Options) Harness
