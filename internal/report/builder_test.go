package report

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

var testStart = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// builder creates records of the instances a and b, 1 ms apart.
type builder struct {
	records []*Record
}

func (b *builder) now() time.Time {
	return testStart.Add(time.Duration(len(b.records)) * time.Millisecond)
}

// add adds a record; fields alternates between names and values.
func (b *builder) add(instance string, e events.Event, fields ...any) {
	r := &Record{At: b.now(), Event: e.Number, Name: e.Name, Instance: instance, Fields: map[string]any{}}
	for n := 0; n < len(fields); n += 2 {
		r.Fields[fields[n].(string)] = fields[n+1]
	}
	b.records = append(b.records, r)
}

func (b *builder) start(instance, callers string) {
	b.add(instance, events.InstanceStarted, fieldCallers, callers)
}

// ended adds the conclusion of an entry instance.
func (b *builder) ended(instance, id string, o outcome.Outcome, stage outcome.Stage, idempotent bool) {
	b.add(instance, events.EntryEnded, fieldRequestID, id, fieldService, "chumon", fieldKey, "k", fieldOutcome, string(o),
		fieldStage, float64(stage), fieldKind, "test", fieldIdempotent, idempotent)
}

func (b *builder) dispatched(instance, id, server string) {
	b.add(instance, events.RequestDispatched, fieldRequestID, id, fieldService, "chumon", fieldKey, "k", fieldServer, server)
}

func (b *builder) answered(instance, id, server string) {
	b.add(instance, events.RequestAnswered, fieldRequestID, id, fieldServer, server)
}

func (b *builder) failed(instance, id, server, stage string) {
	b.add(instance, events.DispatchFailed, fieldRequestID, id, fieldServer, server, fieldStage, stage)
}

func (b *builder) journal() *Journal {
	return NewJournal(b.records, nil)
}

// sentTo returns a request with its attempts, all of which were sent.
func sentTo(id string, idempotent bool, from, until time.Time, attempts ...Attempt) SentRequest {
	for n := range attempts {
		attempts[n].Sent = true
	}
	return SentRequest{RequestID: id, Idempotent: idempotent, Attempts: attempts, From: from, Until: until}
}

func ranOn(id, server string, idempotent bool) Execution {
	return Execution{RequestID: id, Server: server, Idempotent: idempotent, Start: testStart}
}
