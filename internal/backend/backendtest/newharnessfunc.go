package backendtest

import (
	"testing"
)

// NewHarnessFunc makes a harness for one case.
type NewHarnessFunc func(t *testing.T, options Options) Harness
