package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Status is the response to GET /status at the operators' endpoint of an instance.
type Status struct {
	Instance        string `json:"instance"`
	Domain          string `json:"domain"`
	SettingsVersion uint64 `json:"settings_version"`
	Ready           bool   `json:"ready"`
	// PendingMoves counts the key ranges that the shards held by the instance
	// still grant to servers that are out of service. A long upload on such a
	// server delays the move of its range.
	PendingMoves int `json:"pending_moves"`
}

const (
	// statusTimeout limits one request; an instance responds within milliseconds.
	statusTimeout = 2 * time.Second
	// maxStatusCalls limits the concurrent requests.
	maxStatusCalls = 32
	// maxStatusBytes limits the size of a response.
	maxStatusBytes = 64 << 10
)

// fetchStatuses requests the status of all instances concurrently and returns
// the reports in the order of the addresses.
func (t *tool) fetchStatuses(ctx context.Context, addresses []string) []instanceReport {
	reports := make([]instanceReport, len(addresses))
	slots := make(chan struct{}, maxStatusCalls)
	var wg sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			status, err := t.fetchStatus(ctx, address)
			reports[i] = instanceReport{address, status, err}
		})
	}
	wg.Wait()
	return reports
}

func (t *tool) fetchStatus(ctx context.Context, address string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return Status{}, &usageError{fmt.Sprintf("address %q of an instance is not host:port", address)}
	}
	response, err := t.env.Client.Do(request)
	if err != nil {
		return Status{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Status{}, fmt.Errorf("GET /status answered %s; check that %s is the operators' endpoint of an instance", response.Status, address)
	}
	var status Status
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxStatusBytes)).Decode(&status); err != nil || status.Instance == "" {
		return Status{}, fmt.Errorf("GET /status did not answer with a status; check that %s is the operators' endpoint of an instance", address)
	}
	return status, nil
}
