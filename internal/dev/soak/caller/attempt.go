// Package caller simulates the callers of the users' platform. They keep their
// connections until the instance closes them, pipeline, send uploads slowly, leave
// early, and repeat requests by the rules of the platform's pages.
package caller

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Attempt is one request as sent once, and what its caller saw of it. Each attempt has
// an ID of its own.
type Attempt struct {
	ID string
	// Request is common to the attempts of one request.
	Request string
	Route   *Route
	Target  string
	Key     int
	// Instance and Process say which process of which instance got the attempt.
	Instance   string
	Process    int
	Connection int64
	// Reused is set if the connection had carried a response before.
	Reused bool
	// Ahead is the number of requests that were sent before it on its connection and not answered yet.
	Ahead   int
	Timeout time.Duration
	// StartedAt and SentAt are the times of the first and the last byte sent.
	StartedAt, SentAt, EndedAt time.Time
	Result                     Result
	Status                     int
	Stamp                      string
	// ServerLeaving is set if the response says that its server is leaving.
	ServerLeaving bool
	// Fault says what is wrong with the response, if it is not the answer to this attempt.
	Fault  string
	Detail string

	bodyBytes   int
	chunked     bool
	chunkPause  time.Duration
	size        int
	leavesAfter time.Duration
	retryAfter  time.Duration
}

// Refused reports whether the response promises that the request has not run and never will.
func (a *Attempt) Refused() bool {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return a.Result == Complete
	}
	return false
}

// Server returns the ID of the backend server whose response was passed on, or "". The
// stamp is that ID and the index of the run.
func (a *Attempt) Server() string {
	if end := strings.LastIndexByte(a.Stamp, '.'); end >= 0 && a.Result == Complete {
		return a.Stamp[:end]
	}
	return ""
}

// Answered reports whether a backend server's successful response arrived.
func (a *Attempt) Answered() bool {
	return a.Result == Complete && a.Status/100 == 2
}

// mayRetry reports whether callers send the request again: any request after a promise
// or if it was not read, idempotent ones after any failure.
func (a *Attempt) mayRetry() bool {
	switch {
	case a.Refused(), a.Result == Unsent, a.Result == Unanswered:
		return true
	case a.Result == Left, !a.Route.Idempotent:
		return false
	}
	return a.Result == Cut || a.Status >= http.StatusInternalServerError
}

// String describes the attempt for the account of a failure. Times are relative to base.
func (a *Attempt) String(base time.Time) string {
	return fmt.Sprintf("%s %s of %s at %s process %d connection %d (%d ahead): sent %.3f-%.3f ended %.3f %s status %d stamp %q %s %s",
		a.ID, a.Target, a.Route.Name, a.Instance, a.Process, a.Connection, a.Ahead, a.StartedAt.Sub(base).Seconds(), a.SentAt.Sub(base).Seconds(),
		a.EndedAt.Sub(base).Seconds(), a.Result, a.Status, a.Stamp, a.Fault, a.Detail)
}
