// Package nodeconfig reads the static settings of one router process from an
// INI file: its name, failure domain, addresses and platform endpoints. What
// operators change while the system runs is in package settings.
package nodeconfig

// Config is the static settings of one process. It is immutable.
type Config struct {
	Instance Instance
	Listen   Listen
	Platform Platform
	Peers    Peers
	Records  Records
	Trace    Trace
}

// Instance says which instance the process is.
type Instance struct {
	Name   string
	Domain string // failure domain
	Region string
}

// Listen holds the addresses that the process listens on, as host:port.
type Listen struct {
	Callers   string
	Peers     string
	Operators string
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Store     string
	Instances string
}

// Peers holds the peer endpoints that a starting instance asks first, as
// host:port. It may be empty; then only the platform's list is used.
type Peers struct {
	Addresses []string
}

// Records says where the process writes its event records for the report.
type Records struct {
	// Path is a file; empty stands for standard error.
	Path string
}

// Trace says where spans go. Both empty turns tracing off.
type Trace struct {
	// Endpoint is the base URL of an OTLP collector.
	Endpoint string
	// Path is a file that spans are appended to.
	Path string
}
