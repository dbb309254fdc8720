package programs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// readyInterval is the time between readiness probes of a starting program.
const readyInterval = 50 * time.Millisecond

// HTTPClient calls the control endpoints of the stand-ins and of the routers.
var HTTPClient = &http.Client{Transport: &http.Transport{}}

// Post sends body as JSON and ignores the body of the response.
func Post(ctx context.Context, url string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, url)
	}
	return Call(ctx, http.MethodPost, url, bytes.NewReader(content), nil)
}

// Get decodes the JSON response into out.
func Get(ctx context.Context, url string, out any) error {
	return Call(ctx, http.MethodGet, url, nil, out)
}

// Call sends one control request and decodes the JSON response into out unless out is
// nil. A status other than 2xx is an error.
func Call(ctx context.Context, method, url string, body io.Reader, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Wrap(err, url)
	}
	response, err := HTTPClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "control call")
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 200))
		return errors.Errorf("%s %s: status %d: %s", method, url, response.StatusCode, text)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(out), url)
}
