package servers

// ColdStartConfig describes how a server warms up after its start. The zero value needs no warm-up.
type ColdStartConfig struct {
	// WarmUpRequests is how many requests must succeed before the server is warm.
	WarmUpRequests int64
	// SlowdownFactor multiplies service times at the start and falls to 1 as requests succeed.
	SlowdownFactor float64
	// MaxOverloads is how many requests above its concurrency limit a cold server tolerates.
	MaxOverloads int64
	// CrashOnOverload makes the server crash after one more; otherwise its warm-up starts again.
	CrashOnOverload bool
}
