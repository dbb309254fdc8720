package settings

// Kind is the type of a setting's value.
type Kind string

// The kinds of values.
const (
	Duration Kind = "duration"
	Whole    Kind = "whole number"
	Bool     Kind = "true or false"
	State    Kind = "in or out"
	Name     Kind = "name"
	Address  Kind = "host:port"
	KeyText  Kind = "key"
	NameList Kind = "list of NAME@INCARNATION"
)
