package command

import (
	"time"

	"github.com/pkg/errors"
)

// options holds the arguments of all subcommands.
type options struct {
	JSON       bool
	Positional string // request ID, failure domain or key
	RunLog     string
	Callers    string
	From       string
	To         string
	Output     string
}

// timeLayouts are the accepted formats of --from and --to; a time without zone is UTC.
var timeLayouts = []string{time.RFC3339Nano, "2006-01-02T15:04:05", "2006-01-02T15:04", "2006-01-02"}

func parseTime(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	for _, layout := range timeLayouts {
		if at, err := time.Parse(layout, text); err == nil {
			return at, nil
		}
	}
	return time.Time{}, errors.Errorf("%s %q is not a time; write it as 2026-12-04T10:00:00Z", flag, text)
}
