package shard

import "sync/atomic"

// ConfigSource passes the newest configuration of a shard to its runtime. Set may be
// called from any goroutine.
type ConfigSource struct {
	current atomic.Pointer[Config]
	changed chan struct{}
}

// NewConfigSource returns a source whose first configuration is config.
func NewConfigSource(config *Config) *ConfigSource {
	s := &ConfigSource{changed: make(chan struct{}, 1)}
	s.current.Store(config)
	return s
}

// Set replaces the configuration and wakes the runtime.
func (s *ConfigSource) Set(config *Config) {
	s.current.Store(config)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *ConfigSource) Get() *Config {
	return s.current.Load()
}
