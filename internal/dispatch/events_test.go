package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/request"
)

// loggedEvent holds the fields of a logged event that tell how its request ended.
type loggedEvent struct {
	Name      string `json:"name"`
	RequestID string `json:"request_id"`
	Outcome   string `json:"outcome"`
	Stage     string `json:"stage"`
}

// Guards against a request whose events do not tell how it ended: each must have
// exactly one request_ended, with outcome and stage.
func TestEventsOfOneRequest(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		script     []behaviour
		want       []string
		stage      string
	}{
		{"answered", false, nil, []string{"request_copied", "request_admitted", "request_dispatched", "request_answered", "request_ended"}, "whole"},
		{"retried", true, []behaviour{refuseConnection}, []string{"request_admitted", "request_dispatched", "dispatch_failed",
			"request_retried", "request_admitted", "request_dispatched", "request_answered", "request_ended"}, "whole"},
		{"unknown", false, []behaviour{truncatedBody}, []string{"request_copied", "request_admitted", "request_dispatched",
			"dispatch_failed", "request_unknown", "request_ended"}, "written"},
		{"cancelled", true, []behaviour{neverRespond}, []string{"request_admitted", "request_dispatched", "dispatch_failed",
			"request_unknown", "request_ended"}, "written"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				logger := events.NewLogger(&out)
				env := newTestEnv(true, 3, Limits{}, newFakeServer("bosho-01", newRunLog(), respondAfter(time.Millisecond), c.script...))
				defer env.close()
				env.holder.dispatcher.options.Events = logger
				r := newRequest(c.idempotent)
				_, _ = env.holder.handle(context.Background(), r)
				logger.Close()
				lines := eventsOfRequest(t, &out, r)
				names := make([]string, 0, len(lines))
				for _, l := range lines {
					names = append(names, l.Name)
				}
				is.Equal(names, c.want)
				final := lines[slices.Index(names, "request_ended")]
				is.Equal(final.Stage, c.stage)
				is.True(final.Outcome != "")
			})
		})
	}
}

func eventsOfRequest(t *testing.T, out *bytes.Buffer, r *request.Request) []loggedEvent {
	var lines []loggedEvent
	decoder := json.NewDecoder(out)
	for decoder.More() {
		var l loggedEvent
		if err := decoder.Decode(&l); err != nil {
			t.Fatal(err)
		}
		if l.RequestID == r.ID {
			lines = append(lines, l)
		}
	}
	return lines
}
