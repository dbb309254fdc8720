package report

import "peridotmoor.org/peridotmoor/internal/events"

// Names of the fields that the report reads. The first group is shared by
// several packages; the others belong to single events.
const (
	fieldRequestID  = events.FieldRequestID
	fieldService    = events.FieldService
	fieldKey        = events.FieldKey
	fieldShard      = events.FieldShard
	fieldServer     = events.FieldServer
	fieldOutcome    = events.FieldOutcome
	fieldKind       = events.FieldKind
	fieldStage      = events.FieldStage
	fieldDetail     = events.FieldDetail
	fieldDuration   = events.FieldDuration
	fieldHolder     = events.FieldHolder
	fieldIdempotent = events.FieldIdempotent
	fieldToken      = events.FieldToken
	fieldVersion    = events.FieldSettingsVersion

	fieldProblem          = "problem"
	fieldDurationMS       = "duration_ms"
	fieldWaitMS           = "wait_ms"
	fieldBackoffMS        = "backoff_ms"
	fieldDelayMS          = "delay_ms"
	fieldSlowServer       = "slow_server"
	fieldStatus           = "status"
	fieldCount            = "count"
	fieldCallers          = "callers"
	fieldRange            = "range"
	fieldFrom             = "from"
	fieldTo               = "to"
	fieldOut              = "out"
	fieldSubjectInstance  = RepeatedFieldPrefix + events.FieldInstance // in instance_state
	fieldServerDomain     = "server_domain"
	fieldReason           = "reason"
	fieldAuthor           = "author"
	fieldInstalledVersion = "version"
	fieldState            = "state"
	fieldIncarnation      = "incarnation"
)

// failureReason returns the recorded cause of a refusal or failure.
func failureReason(r *Record) string {
	if detail := r.Text(fieldDetail); detail != "" {
		return detail
	}
	return r.Text(fieldProblem)
}
