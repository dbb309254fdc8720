package callerhttp

import "time"

// Limits are the limits on a caller's connection. A value of 0 or less means the default.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultTimeout
	}
	return l
}
