package callerhttp

import "time"

// Limits bound what a caller may send on a connection.
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
