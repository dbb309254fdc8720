package keyowners

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// maxLineBytes limits a line of a log; the lines of an instance are far shorter.
const maxLineBytes = 1 << 20

// tenureEvents are the events that show who was the holder, by what right, and until when.
var tenureEvents = []events.Event{
	events.HolderElected, events.HolderEnded, events.LeaseLost, events.LeaseGone, events.LeaseUnreleased, events.HolderKeyUnwritten, events.HolderWithoutLease,
	events.HolderQuorumChanged, events.EarlierGrantsEndSoon, events.OwnerRecordReplaced, events.MachineSuspended,
}

// processEndings are the reasons that end all grants of a server's process, and releaseEnds
// is the one that ends those up to its fence.
var (
	processEndings = []string{owners.GrantServerEnded.String(), owners.GrantServerRestarted.String()}
	releaseEnds    = owners.GrantReleased.String()
)

// Log collects what the logs of one or more instances say about a key.
type Log struct {
	history History
	// ends holds the lines about ends of grants until all logs are read.
	ends []endedGrant
}

// NewLog returns an empty log for a key of a service.
func NewLog(service string, key int) *Log {
	return &Log{history: History{Service: service, Key: key}}
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
			l.history.UnreadableLines++
			continue
		}
		l.add(one)
	}
	return errors.Wrap(scanner.Err(), "read a log; each line must be one that peridotmoor-entry wrote")
}

func (l *Log) add(one line) {
	isEvent := func(e events.Event) bool { return e.Number == one.Event }
	switch {
	case isEvent(events.EventsDropped):
		l.history.DroppedLines += one.DroppedCount
	case isEvent(events.KeysGranted):
		for _, g := range one.Grants {
			if l.concerns(g.Service, g.From, g.To) {
				l.addGrant(Grant{Instance: one.Instance, Epoch: one.Epoch, Server: g.Server, StartMS: g.StartMS, Fence: g.Fence, SentAt: g.SentAt, Outcome: g.Outcome})
			}
		}
	case isEvent(events.KeyGrantsEnded):
		for _, g := range one.Grants {
			if l.concerns(g.Service, g.From, g.To) {
				l.addEnd(one, g)
			}
		}
	case isEvent(events.OrderWrittenLate) && l.concerns(one.Service, one.From, one.To), slices.ContainsFunc(tenureEvents, isEvent):
		l.addEvent(one, one.At, one.Name, one.detail())
	}
}

func (l *Log) concerns(service string, from, to int) bool {
	return service == l.history.Service && from <= l.history.Key && l.history.Key <= to
}

func (l *Log) addEvent(one line, at time.Time, name, detail string) {
	l.history.Events = append(l.history.Events, Event{At: at, Instance: one.Instance, Epoch: one.Epoch, Name: name, Detail: detail})
}

// addGrant adds a grant, or the outcome of a later order if it is known.
func (l *Log) addGrant(g Grant) {
	for n, known := range l.history.Grants {
		if known.sameTenure(g) && known.sameServer(g) && known.Fence == g.Fence {
			l.history.Grants[n].Outcome = g.Outcome
			return
		}
	}
	l.history.Grants = append(l.history.Grants, g)
}

func (l *Log) addEnd(one line, g grantLine) {
	until := g.EndedAt
	if g.Reason == owners.GrantExpired.String() || g.Reason == owners.GrantTenureEnded.String() {
		until = g.ValidUntil
	}
	end := endedGrant{inherited: g.SentAt.IsZero(), at: g.EndedAt,
		Grant: Grant{Instance: one.Instance, Epoch: one.Epoch, Server: g.Server, StartMS: g.StartMS, Fence: g.Fence, End: g.Reason, Until: until}}
	l.ends = append(l.ends, end)
	if end.inherited {
		l.addEvent(one, g.EndedAt, "earlier grant ended", "server="+g.Server+" reason="+g.Reason)
	}
}

// History returns what the logs tell. It is called once all of them have been read.
func (l *Log) History() History {
	h := l.history
	h.Grants = slices.Clone(h.Grants)
	for n := range h.Grants {
		for _, end := range l.ends {
			if end.ends(h.Grants[n]) {
				h.Grants[n].end(end.End, end.Until)
			}
		}
	}
	slices.SortStableFunc(h.Grants, func(a, b Grant) int { return a.SentAt.Compare(b.SentAt) })
	slices.SortStableFunc(h.Events, func(a, b Event) int { return a.At.Compare(b.At) })
	for n, first := range h.Grants {
		for _, second := range h.Grants[n+1:] {
			if overlap, ok := overlapOf(first, second); ok {
				h.Overlaps = append(h.Overlaps, overlap)
			}
		}
	}
	return h
}
