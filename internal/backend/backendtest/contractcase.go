package backendtest

import (
	"testing"
)

// contractCase is one test case of the contract.
type contractCase struct {
	name    string
	options Options
	run     func(t *testing.T, h Harness)
}
