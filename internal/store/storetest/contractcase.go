package storetest

import (
	"testing"
)

// contractCase is one test case of the contract.
type contractCase struct {
	name string
	run  func(t *testing.T, h Harness)
}
