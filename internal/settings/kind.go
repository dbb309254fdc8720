package settings

// Kind is the type of the value of a setting.
type Kind string

// Value types. The texts appear in the settings reference.
const (
	KindDuration     Kind = "duration"
	KindInteger      Kind = "whole number"
	KindBool         Kind = "true or false"
	KindState        Kind = "in or out"
	KindName         Kind = "name"
	KindAddress      Kind = "host:port"
	KindKey          Kind = "key"
	KindInstanceList Kind = "list of NAME@INCARNATION"
	KindKeyDigests   Kind = "list of SHA-256 in hexadecimal"
)
