package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"peridotmoor.org/peridotmoor/internal/explain"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

const (
	// maxExplanationBytes limits the size of an answer: 200 servers of each service.
	maxExplanationBytes = 4 << 20
	// maxErrorBytes limits how much of an error message is read.
	maxErrorBytes = 1 << 10
)

// runExplain asks an instance what it would decide on a request.
func runExplain(ctx context.Context, t *tool) (output, error) {
	if t.options.Instance == "" {
		return nil, &usageError{"no instance is named; give --instance HOST:PORT, its metrics address"}
	}
	query, err := t.options.explainQuery()
	if err != nil {
		return nil, err
	}
	answer, err := t.fetchExplanation(ctx, query)
	if err != nil {
		return nil, err
	}
	return explanationOutput{answer}, nil
}

// explainQuery returns the query that the options describe.
func (o *Options) explainQuery() (explain.Query, error) {
	query := explain.Query{Method: o.Method, Host: o.Host, Path: o.Path, Team: o.Team}
	if o.Key != "" {
		key, err := strconv.ParseUint(o.Key, 10, 16)
		if err != nil {
			return query, &usageError{"parameter key: give a number from 0 to 65535"}
		}
		number := int(key)
		query.Key = &number
	}
	if o.APIKeyFile != "" {
		text, err := os.ReadFile(o.APIKeyFile)
		if err != nil {
			return query, &usageError{fmt.Sprintf("cannot read the API key: %v; correct the file name", err)}
		}
		key := strings.TrimRight(string(text), "\r\n")
		if key == "" || !fleet.IsVisible(key) {
			return query, &usageError{"the file of --api-key-file holds no API key: it must be one line of visible ASCII; a request with it gets 401"}
		}
		query = query.WithAPIKey(key)
	}
	values := query.Encode()
	for name, list := range values {
		if list[0] == "" {
			values.Del(name)
		}
	}
	_, err := explain.ParseQuery(values) // the check of the instance
	var invalid *explain.ParameterError
	if errors.As(err, &invalid) {
		return query, &usageError{invalid.Error()}
	}
	return query, err
}

func (t *tool) fetchExplanation(ctx context.Context, query explain.Query) (explain.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var answer explain.Answer
	address := t.options.Instance
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/explain?"+query.Encode().Encode(), nil)
	if err != nil {
		return answer, &usageError{fmt.Sprintf("address %q of the instance is not host:port", address)}
	}
	response, err := t.env.Client.Do(request)
	if err != nil {
		return answer, &unreachableError{fmt.Sprintf("instance %s does not answer; check that it runs and that this is its metrics address", address)}
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusBadRequest:
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // an incomplete message still names the parameter
		return answer, &usageError{strings.TrimSpace(string(text))}
	default:
		return answer, &unreachableError{fmt.Sprintf("GET /explain answered %s; check that %s is the metrics address of an instance of peridotmoor-entry", response.Status, address)}
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxExplanationBytes)).Decode(&answer); err != nil || answer.Instance == "" {
		return answer, &unreachableError{fmt.Sprintf("GET /explain did not answer with an explanation; check that %s is the metrics address of an instance of peridotmoor-entry", address)}
	}
	return answer, nil
}
