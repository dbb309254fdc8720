package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// readyInterval is how often a starting program is asked whether it is ready.
const readyInterval = 50 * time.Millisecond

// client calls the control endpoints of the stand-ins and of the routers.
var client = &http.Client{Transport: &http.Transport{}}

// post sends body as JSON; nil sends nothing.
func post(ctx context.Context, url string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, url)
	}
	return exchange(ctx, http.MethodPost, url, bytes.NewReader(content), nil)
}

// get reads JSON into out.
func get(ctx context.Context, url string, out any) error {
	return exchange(ctx, http.MethodGet, url, nil, out)
}

func exchange(ctx context.Context, method, url string, body io.Reader, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Wrap(err, url)
	}
	response, err := client.Do(request)
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

// waitReady waits until the router says that it is ready.
func waitReady(ctx context.Context, i *instance) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		err := get(ctx, "http://"+i.operators+"/ready", nil)
		if err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-i.child.done:
			return errors.Errorf("%s ended before it was ready: %v; see %s", i.name, i.child.err, i.child.log.Name())
		case <-ctx.Done():
			return errors.Wrapf(err, "%s was not ready in time; see %s", i.name, i.child.log.Name())
		}
	}
}
