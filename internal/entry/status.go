package entry

import (
	"net/http"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// statuses maps kinds of problems to HTTP status codes. Other kinds have 503 if the
// request was not run, and 502 otherwise.
var statuses = map[problem.Kind]int{
	problem.KindUnknownService: http.StatusNotFound,
	problem.KindMissingKey:     http.StatusNotFound,
	problem.KindUnauthorized:   http.StatusUnauthorized,
	problem.KindMissingID:      http.StatusBadRequest,
	problem.KindBadID:          http.StatusBadRequest,
	problem.KindIDAhead:        http.StatusBadRequest,
	problem.KindBadDeadline:    http.StatusBadRequest,
	problem.KindBadIdempotent:  http.StatusBadRequest,
	problem.KindBadBody:        http.StatusBadRequest,
	problem.KindHeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	problem.KindIDReused:       http.StatusConflict,
	problem.KindIDExpired:      http.StatusGone,
	problem.KindRecordsLost:    http.StatusGone,
	problem.KindAnswerNotKept:  http.StatusGone,
	problem.KindQuarantined:    http.StatusUnprocessableEntity,
	problem.KindDeadlinePassed: http.StatusGatewayTimeout,
	problem.KindStalled:        http.StatusRequestTimeout,
	problem.KindInternal:       http.StatusInternalServerError,
}

func statusOf(p *problem.Problem) int {
	if status, listed := statuses[p.Kind]; listed {
		return status
	}
	if p.Outcome == outcome.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
