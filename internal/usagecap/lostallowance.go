package usagecap

import "time"

// lostAllowance is the allowance of an instance that may use it until a certain time, as its
// link to the holder has ended.
type lostAllowance struct {
	rate  float64
	share float64
	until time.Time
}
