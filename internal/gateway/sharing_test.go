package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are passed on behind a long response of a route that does not
// announce such responses by its kind.
func TestRouteWithStreamedResponsesIsRemembered(t *testing.T) {
	is := is.New(t)
	var s streamedRoutes
	now := time.Now()
	is.True(!s.isRecent("r", now))
	s.record("r", now)
	is.True(s.isRecent("r", now.Add(streamedPeriod/2)))
	is.True(!s.isRecent("other", now))
	is.True(!s.isRecent("r", now.Add(streamedPeriod)))
}
