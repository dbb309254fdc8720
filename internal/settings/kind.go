package settings

// Kind is the type of a setting's value.
type Kind string

// The kinds of values.
const (
	KindDuration     Kind = "duration"
	KindInteger      Kind = "whole number"
	KindBool         Kind = "true or false"
	KindState        Kind = "in or out"
	KindName         Kind = "name"
	KindAddress      Kind = "host:port"
	KindKey          Kind = "key"
	KindInstanceList Kind = "list of NAME@INCARNATION"
)
