package events

// Names of the fields that several events share. peridotmoor-report reads them.
const (
	FieldRequestID       = "request_id"
	FieldKey             = "key"
	FieldService         = "service"
	FieldShard           = "shard"
	FieldInstance        = "instance"
	FieldDomain          = "domain"
	FieldServer          = "server"
	FieldOutcome         = "outcome"
	FieldKind            = "kind"
	FieldStage           = "stage"
	FieldDetail          = "detail"
	FieldDuration        = "took_ms"
	FieldAttempt         = "attempt"
	FieldToken           = "token"
	FieldHolder          = "holder"
	FieldIdempotent      = "idempotent"
	FieldSettingsVersion = "settings_version"
)
