package servers

// ColdStartConfig describes a cold start. The zero value has none.
type ColdStartConfig struct {
	// WarmUpRequests is how many requests must succeed until the server is warm.
	WarmUpRequests int64
	// SlowdownFactor multiplies service times at the start; it falls to 1 as requests succeed.
	SlowdownFactor float64
	// MaxOverloads is how many requests above the limit a cold server bears before it falls over.
	MaxOverloads int64
	// CrashOnOverload makes the server crash when it falls over; otherwise it starts to warm up anew.
	CrashOnOverload bool
}
