package calls

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
)

const (
	// maxLineBytes limits a line of a log; the lines of an instance are far shorter.
	maxLineBytes = 1 << 20
	// maxPrecedingEvents is the number of state events that are shown with a call.
	maxPrecedingEvents = 4
)

// instanceEvents are the events that show the state of an instance or of what it depends
// on: settings, store, holder.
var instanceEvents = eventNumbers(
	events.InstanceStarted, events.InstanceStopping, events.StopCutOff, events.CallerReady, events.ConfigInForce, events.DomainsTakenOut, events.StoreLost, events.StoreRegained,
	events.HolderElected, events.HolderEnded, events.HolderFollowed, events.HolderLost, events.LeaseLost, events.ReadForHolder,
	events.LeaseGone, events.HolderKeyUnwritten, events.LeaseUnreleased,
)

func eventNumbers(of ...events.Event) map[int]bool {
	out := map[int]bool{}
	for _, e := range of {
		out[e.Number] = true
	}
	return out
}

// Log holds what the logs of one or more instances say.
type Log struct {
	calls  map[string]*Call
	events map[string][]InstanceEvent
	// UnreadableLines counts the lines that are not valid log lines.
	UnreadableLines int
	// DroppedLines counts the lines that instances could not write.
	DroppedLines int64
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{calls: map[string]*Call{}, events: map[string][]InstanceEvent{}}
}

// Read adds the lines of one stream.
func (l *Log) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		var one line
		if json.Unmarshal(text, &one) != nil || one.Event == 0 {
			l.UnreadableLines++
			continue
		}
		l.add(one)
	}
	return errors.Wrap(scanner.Err(), "read a log; each line must be one that peridotmoor-entry wrote")
}

func (l *Log) add(one line) {
	switch {
	case one.Event == events.CallEnded.Number:
		c := l.call(one.Request)
		c.Instance, c.Service, c.Key, c.Outcome, c.Server = one.Instance, one.Service, one.Key, one.Outcome, one.Server
		c.Sends, c.Ended, c.Version, c.Detail = one.Sends, one.At, one.Version, one.Detail
		c.Duration = time.Duration(one.DurationMS) * time.Millisecond
		c.Limit = time.Duration(one.LimitMS) * time.Millisecond
		c.RetryAfter = time.Duration(one.RetryAfterMS) * time.Millisecond
	case one.Event == events.AttemptEnded.Number:
		c := l.call(one.Request)
		c.Instance = one.Instance
		c.Attempts = append(c.Attempts, Attempt{At: one.At, Server: one.Server, Outcome: one.Outcome, Detail: one.Detail})
	case one.Event == events.EventsDropped.Number:
		l.DroppedLines += one.DroppedCount
	case instanceEvents[one.Event]:
		detail := strings.TrimSpace(strings.TrimSpace(one.HolderName+" "+one.Reason) + " " + one.Detail)
		l.events[one.Instance] = append(l.events[one.Instance], InstanceEvent{At: one.At, Name: one.Name, Message: one.Message, Detail: detail})
	}
}

func (l *Log) call(id string) *Call {
	if l.calls[id] == nil {
		l.calls[id] = &Call{ID: id}
	}
	return l.calls[id]
}

// Call returns what the log shows about a call, and false when no line mentions it.
func (l *Log) Call(id string) (Call, bool) {
	found := l.calls[id]
	if found == nil {
		return Call{}, false
	}
	c := *found
	for _, n := range l.events[c.Instance] {
		if c.Ended.IsZero() || !n.At.After(c.Ended) {
			c.PrecedingEvents = append(c.PrecedingEvents, n)
		}
	}
	sort.SliceStable(c.PrecedingEvents, func(i, j int) bool { return c.PrecedingEvents[i].At.Before(c.PrecedingEvents[j].At) })
	c.PrecedingEvents = c.PrecedingEvents[max(0, len(c.PrecedingEvents)-maxPrecedingEvents):]
	return c, true
}

// Counts returns the number of calls by outcome, the most frequent first.
func (l *Log) Counts() []Count {
	found := map[Count]int{}
	for _, c := range l.calls {
		key := Count{Service: c.Service, Outcome: c.Outcome}
		if c.Outcome != "answered" {
			key.Reason, _, _ = strings.Cut(c.Detail, ":")
		}
		found[key]++
	}
	var out []Count
	for key, n := range found {
		key.Calls = n
		out = append(out, key)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Calls != b.Calls {
			return a.Calls > b.Calls
		}
		return a.Service+a.Outcome+a.Reason < b.Service+b.Outcome+b.Reason
	})
	return out
}
