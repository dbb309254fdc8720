package ctl

import (
	"net/http"
	"strings"
	"time"
)

// Options contains the parsed arguments.
type Options struct {
	Command string
	// First and Second are the positional arguments of the command.
	First, Second string

	Store       string // base URL of the store
	Instances   string // comma-separated operators' endpoints, host:port
	NoInstances bool   // apply: no instance runs yet
	JSON        bool
	Platform    string // check: address of the store of the users' platform

	File    string // show: read this file instead of the store
	Version int    // show: number of the version, 0 for the accepted one
	Text    bool   // show: print the text of the settings tree
	Key     string // show: the key range that contains this key

	Instance   string // explain: metrics address of the instance, host:port
	Method     string // explain: method of the request
	Host       string // explain: host that the request names
	Path       string // explain: path of the request
	Team       string // explain: team that sends the request
	APIKeyFile string // explain: file with the API key of the request

	Author      string
	Parent      int           // apply: version that the file was built on; -1 to take it from its first line
	Wait        bool          // apply: wait until the version is in effect
	Limit       int           // history: maximum number of versions
	WaitTimeout time.Duration // maximum duration of a wait
}

// defaultOptions returns the options before the arguments are parsed.
func defaultOptions(env Env) *Options {
	return &Options{
		Store:       env.Getenv(envStore),
		Instances:   env.Getenv(envInstances),
		Author:      env.Getenv(envUser),
		Method:      http.MethodGet,
		Parent:      -1,
		Limit:       10,
		WaitTimeout: 60 * time.Second,
	}
}

// addresses splits Instances into the addresses of the operators' endpoints.
func (o *Options) addresses() []string {
	var list []string
	for _, item := range strings.Split(o.Instances, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}
