package entrynode

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/explain"
	"peridotmoor.org/peridotmoor/internal/gateway"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// maxExplainQueryBytes limits the query of a request to /explain: the longest path with each
// byte escaped, and the other parameters.
const maxExplainQueryBytes = 32 << 10

// explainHandler answers what the instance would decide on a request.
type explainHandler struct {
	instance   string
	gateway    *gateway.Gateway
	holderName func() string
}

// ServeHTTP writes the answer as JSON, or 400 with the name of an invalid parameter.
func (h explainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, err := h.answer(r.URL.RawQuery)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // fails only if the operator's connection has ended
}

func (h explainHandler) answer(rawQuery string) (explain.Answer, error) {
	if len(rawQuery) > maxExplainQueryBytes {
		return explain.Answer{}, &explain.ParameterError{Parameter: "path", Remedy: "give a shorter query"}
	}
	values, err := url.ParseQuery(rawQuery)
	if err != nil {
		return explain.Answer{}, errors.New("the query has an invalid escape or separator; encode each parameter")
	}
	query, err := explain.ParseQuery(values)
	if err != nil {
		return explain.Answer{}, err
	}
	request := gateway.ExplainRequest{Method: query.Method, Host: query.Host, Path: query.RoutingPath(), Key: placing.NoKey, Team: query.Team}
	if query.Key != nil {
		request.Key = *query.Key
	}
	if query.Digest != nil {
		request.Credential = credential.Credential{Given: true, Digest: *query.Digest}
	}
	e, err := h.gateway.Explain(time.Now(), request)
	if errors.Is(err, gateway.ErrUnknownTeam) {
		return explain.Answer{}, &explain.ParameterError{Parameter: "team", Remedy: err.Error()}
	}
	answer := encodeExplanation(e)
	answer.Instance, answer.Holder.Name = h.instance, h.holderName()
	return answer, err
}
