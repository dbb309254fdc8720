package entrynode

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// defaultRouteTimeout is the timeout of the route and of the requests in most tests.
const defaultRouteTimeout = 2 * time.Second

// newCaller returns a client that keeps its connections.
func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}, Timeout: requestTimeout}
}

// newSingleUseCaller returns a client that sends each request on a connection of its own.
func newSingleUseCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
}

// sendRequest sends one non-idempotent request and returns its status and body. Status 0
// means that no response arrived.
func sendRequest(client *http.Client, i *instance, id string, key int) (int, string) {
	return sendRequestWithTimeout(client, i, id, key, defaultRouteTimeout)
}

func sendRequestWithTimeout(client *http.Client, i *instance, id string, key int, timeout time.Duration) (int, string) {
	return sendTo(client, i, "/p/x", id, key, timeout)
}

func sendTo(client *http.Client, i *instance, path, id string, key int, timeout time.Duration) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+i.config.CallerAddress+path, nil)
	if err != nil {
		return 0, ""
	}
	request.Host = "h"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Shard-Key", strconv.Itoa(key))
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// generateLoad sends requests through the given instances until stop is closed. It checks
// each result against the recorded executions and returns the number of successes.
func (f *fleet) generateLoad(t *testing.T, instances []*instance, stop <-chan struct{}) (answered int) {
	t.Helper()
	client := newCaller()
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return answered
		default:
		}
		id := fmt.Sprintf("%p-%d", stop, n)
		status, body := sendRequest(client, instances[n%len(instances)], id, n*7919%65536)
		ran := f.countExecutions(id)
		switch {
		case ran > 1:
			t.Errorf("%s ran %d times", id, ran)
		case status == http.StatusOK && (body != id+":/p/x:" || ran != 1):
			t.Errorf("%s was answered %q and ran %d times", id, body, ran)
		case (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && ran != 0:
			t.Errorf("%s was refused and ran", id)
		case status == http.StatusNotFound || status == http.StatusBadRequest:
			t.Errorf("%s was rejected with status %d", id, status)
		}
		if status == http.StatusOK {
			answered++
		}
	}
}
