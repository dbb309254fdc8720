package report

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// eventDescriptions describe what an event means for its request.
var eventDescriptions = map[int]func(*Record) string{
	events.RequestAdmitted.Number: func(r *Record) string {
		return fmt.Sprintf("holder %s gave it a slot of server %s after a wait of %s%s", r.Instance, r.Text(fieldServer), FormatMillis(r.Duration(fieldWaitMS)), exclusiveSuffix(r))
	},
	events.RequestCopied.Number: func(r *Record) string {
		return fmt.Sprintf("all mirrors of holder %s hold its record (%s)", r.Instance, FormatMillis(r.Duration(fieldDurationMS)))
	},
	events.RequestDispatched.Number: func(r *Record) string {
		return fmt.Sprintf("holder %s sends it to server %s under token %s", r.Instance, r.Text(fieldServer), r.Text(fieldToken))
	},
	events.RequestAnswered.Number: func(r *Record) string {
		return fmt.Sprintf("server %s answered holder %s with status %s after %s", r.Text(fieldServer), r.Instance, r.Text(fieldStatus), FormatMillis(r.Duration(fieldDurationMS)))
	},
	events.RequestRefused.Number: func(r *Record) string {
		return fmt.Sprintf("holder %s refused it, not run: %s", r.Instance, kindAndReason(r))
	},
	events.RequestRetried.Number: func(r *Record) string {
		return fmt.Sprintf("holder %s tries again after a pause of %s", r.Instance, FormatMillis(r.Duration(fieldBackoffMS)))
	},
	events.RequestHedged.Number: func(r *Record) string {
		return fmt.Sprintf("server %s has not answered within %s, so holder %s sends it to server %s as well", r.Text(fieldSlowServer), FormatMillis(r.Duration(fieldDelayMS)), r.Instance, r.Text(fieldServer))
	},
	events.RequestJoined.Number: func(r *Record) string {
		return fmt.Sprintf("holder %s is running the same request ID already; this sending waits for its answer", r.Instance)
	},
	events.RequestReplayed.Number: func(r *Record) string {
		return fmt.Sprintf("holder %s returns the kept answer of server %s; nothing runs again", r.Instance, r.Text(fieldServer))
	},
	events.RequestUnknown.Number: func(r *Record) string {
		return fmt.Sprintf("holder %s cannot tell whether it ran: %s", r.Instance, kindAndReason(r))
	},
	events.RequestEnded.Number: func(r *Record) string {
		return fmt.Sprintf("holder %s is done with it: %s after %s", r.Instance, r.Text(fieldOutcome), FormatMillis(r.Duration(fieldDurationMS)))
	},
	events.DispatchFailed.Number: func(r *Record) string {
		return fmt.Sprintf("server %s did not answer holder %s within %s (%s): %s", r.Text(fieldServer), r.Instance, FormatMillis(r.Duration(fieldDurationMS)), describeStageOf(r), kindAndReason(r))
	},
	events.RequestsMarked.Number: func(r *Record) string {
		return fmt.Sprintf("server %s crashed; the %s requests that were in flight there are marked and run alone next time", r.Text(fieldServer), r.Text(fieldCount))
	},
	events.RequestCleared.Number: func(r *Record) string {
		return fmt.Sprintf("it succeeded alone on server %s, so its mark is cleared", r.Text(fieldServer))
	},
	events.RequestLoserCancelled.Number: func(r *Record) string {
		return fmt.Sprintf("holder %s cancelled the slower of the two dispatches", r.Instance)
	},
	events.RequestForwardedAgain.Number: func(r *Record) string {
		return fmt.Sprintf("entry %s did not get it through to holder %s and tries again: %s", r.Instance, r.Text(fieldHolder), kindAndReason(r))
	},
	events.EntryEnded.Number: func(r *Record) string {
		return fmt.Sprintf("entry %s concluded: %s after %s%s", r.Instance, r.Text(fieldOutcome), FormatMillis(r.Duration(fieldDuration)), causeSuffix(r))
	},
	events.RequestRefusedAtEntry.Number: func(r *Record) string {
		return fmt.Sprintf("entry %s refused it at once: %s%s", r.Instance, r.Text(fieldOutcome), causeSuffix(r))
	},
}

// describeRecord describes a record in a sentence. For an event that this version does not
// know it includes the message of the event.
func describeRecord(r *Record) string {
	if describe, known := eventDescriptions[r.Event]; known {
		return describe(r)
	}
	return fmt.Sprintf("%s: event %d %s: %s", r.Instance, r.Event, r.Name, r.Message)
}

func exclusiveSuffix(r *Record) string {
	if r.Flag("alone") {
		return ", alone on the server"
	}
	return ""
}

// kindAndReason returns the kind and the detail of a refusal or failure.
func kindAndReason(r *Record) string {
	kind, reason := r.Text(fieldKind), failureReason(r)
	switch {
	case reason == "":
		return kind
	case kind == "":
		return reason
	default:
		return kind + ": " + reason
	}
}

func causeSuffix(r *Record) string {
	if text := kindAndReason(r); text != "" {
		return ", because of " + text
	}
	return ""
}

// FormatMillis formats a duration in milliseconds, the unit of all durations in the
// reports.
func FormatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}
