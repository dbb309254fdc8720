package ctl

import (
	"strings"
	"time"
)

// Options are the parsed arguments.
type Options struct {
	Command string
	// Arguments are the positional values of the command.
	First, Second string

	Store       string // base URL of the store
	Instances   string // operators' endpoints as host:port, separated by commas
	NoInstances bool   // no instance runs yet
	JSON        bool

	File    string // show: read this file instead of the store
	Version int    // show: past version
	Text    bool   // show: the text itself
	Key     string // show: the key range that holds this key

	Author      string
	Parent      int           // apply: version the file was built on, -1 for the one in its first line
	Wait        bool          // apply: wait until in effect
	Limit       int           // history
	WaitTimeout time.Duration // bound of a wait
}

// defaultOptions returns the options before any argument is read.
func defaultOptions(env Env) *Options {
	return &Options{
		Store:       env.Getenv(envStore),
		Instances:   env.Getenv(envInstances),
		Author:      env.Getenv(envUser),
		Parent:      -1,
		Limit:       10,
		WaitTimeout: 60 * time.Second,
	}
}

// addresses returns the operators' endpoints.
func (o *Options) addresses() []string {
	var list []string
	for _, item := range strings.Split(o.Instances, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}
