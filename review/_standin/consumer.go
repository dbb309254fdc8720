package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// consumer sends requests, on kept connections.
type consumer struct {
	w      *world
	client *http.Client
}

func (w *world) newConsumer() *consumer {
	return &consumer{w: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// newID returns the ID of a new consumer attempt.
func (w *world) newID() string { return fmt.Sprintf("a%06d", w.requests.Add(1)) }

// send makes one consumer attempt and returns its status, 0 without an answer.
func (c *consumer) send(id string, i *instance, method, path string, key int, timeout time.Duration) int {
	request, _ := http.NewRequest(method, "http://"+i.callers+path, strings.NewReader(""))
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if key != noKey {
		request.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	c.w.rec.log("consumer sends %s %s %s, key %d, to %s", id, method, path, key, i.name)
	client := *c.client
	client.Timeout = timeout + time.Second
	response, err := client.Do(request)
	if err != nil {
		c.w.rec.log("consumer gets no answer to %s: %v", id, err)
		return 0
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		c.w.rec.log("consumer gets a part of an answer to %s: %v", id, err)
		return 0
	}
	c.w.rec.log("consumer gets %d to %s, %q", response.StatusCode, id, body)
	return response.StatusCode
}
