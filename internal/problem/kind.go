// Package problem defines the typed errors that callers and operators see. Each
// kind has a remedy.
package problem

// Kind identifies a class of failure. Kinds are part of the interface to callers
// (docs/interface.md); their meaning never changes.
type Kind string

// The kinds of failure.
const (
	KindUnknownService    Kind = "unknown-service"
	KindMissingKey        Kind = "missing-key"
	KindUnauthorized      Kind = "unauthorized"
	KindMissingID         Kind = "missing-request-id"
	KindBadID             Kind = "bad-request-id"
	KindIDExpired         Kind = "request-id-expired"
	KindIDAhead           Kind = "request-id-ahead-of-clock"
	KindIDReused          Kind = "id-reused"
	KindBadDeadline       Kind = "bad-deadline"
	KindBadIdempotent     Kind = "bad-idempotent-mark"
	KindHeaderTooLarge    Kind = "header-too-large"
	KindBadBody           Kind = "bad-body"
	KindDeadlinePassed    Kind = "deadline-passed"
	KindCallerGone        Kind = "caller-gone"
	KindOverloaded        Kind = "overloaded"
	KindNoHolder          Kind = "no-holder"
	KindNotHolder         Kind = "not-holder"
	KindNoOwner           Kind = "no-owner"
	KindNoServer          Kind = "no-server"
	KindServiceOut        Kind = "service-out"
	KindShed              Kind = "shed"
	KindQuarantined       Kind = "quarantined"
	KindRecordsFull       Kind = "records-full"
	KindRecordsLost       Kind = "records-lost"
	KindMirrorUnavailable Kind = "mirror-unavailable"
	KindAnswerNotKept     Kind = "answer-not-kept"
	KindConnectFailed     Kind = "connect-failed"
	KindAnswerLost        Kind = "answer-lost"
	KindAnswerCrossed     Kind = "answer-crossed"
	KindAnswerShort       Kind = "answer-short"
	KindStalled           Kind = "stalled"
	KindHolderLost        Kind = "holder-lost"
	KindNotReady          Kind = "not-ready"
	KindStopping          Kind = "stopping"
	KindInternal          Kind = "internal"
)
