package entrynode

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/explain"
)

// askExplain returns the status and the body of the page /explain of the instance.
func (i *instance) askExplain(t *testing.T, values url.Values) (int, string) {
	t.Helper()
	is := is.New(t)
	response, err := probeClient.Get("http://" + i.config.MetricsAddress + "/explain?" + values.Encode())
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(text)
}

// Guards against an instance that explains by other facts than it serves by, that forwards
// the request, or that takes other methods and unknown teams.
func TestInstanceExplainsRequests(t *testing.T) {
	is := is.New(t)
	f := newFleetOf(t, map[string]any{"name": "s"}, defaultRouteTimeout)
	f.putTenants(t, 2, []any{map[string]any{"name": "team1", "api_keys": []string{"k7secret"}, "rate_per_s": 100, "burst": 50}})
	i := f.instances[0]
	query := explain.Query{Method: "POST", Host: "h", Path: "/p/x"}.WithAPIKey("k7secret")
	var answer explain.Answer
	waitFor(t, "the configuration with the team is in effect and the holder places requests", func() bool {
		answer = explain.Answer{}
		status, text := i.askExplain(t, query.Encode())
		return status == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil && answer.SettingsVersion == 2 && answer.Holder.Places
	})
	is.Equal(answer.Instance, i.config.Name)
	is.True(answer.Holder.Name != "")
	is.Equal(answer.Route.Name, "r")
	is.Equal(answer.Team.Name, "team1")
	is.True(answer.Refusal == nil && answer.Services[0].Refusal == nil)
	is.Equal(answer.Services[0].ServerCount, 3)
	is.True(answer.RetryIfNotRun && !answer.RetryIfLost)
	is.True(!strings.Contains(i.scrape(t), "peridotmoor_call_duration_seconds_count")) // nothing was counted

	query.Digest = nil
	_, text := i.askExplain(t, query.Encode())
	is.NoErr(json.Unmarshal([]byte(text), &answer))
	is.Equal(answer.Refusal.Status, http.StatusUnauthorized)
	query.Team = "nobody"
	status, text := i.askExplain(t, query.Encode())
	is.Equal(status, http.StatusBadRequest)
	is.True(strings.Contains(text, "parameter team"))
	response, err := probeClient.Post("http://"+i.config.MetricsAddress+"/explain", "", nil)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusMethodNotAllowed)
}
