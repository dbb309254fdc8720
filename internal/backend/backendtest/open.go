package backendtest

import (
	"testing"
)

// Open makes a harness for one case.
type Open func(t *testing.T, options Options) Harness
