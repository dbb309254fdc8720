// Package httplist is the HTTP client of the platform's list of instances.
package httplist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/instances"
	"peridotmoor.org/peridotmoor/internal/wire"
)

// maxListBytes limits the size of the list. 10,000 instances take about 2 MB.
const maxListBytes = 16 << 20

// ErrUnavailable means that the platform did not return a complete, valid list.
var ErrUnavailable = errors.New("instances: the list is not available; membership relies on direct observations, repeat the call later")

// Lister implements instances.Lister over HTTP.
type Lister struct {
	address   string
	transport *http.Transport
}

// New returns a client of the list at base, a URL without a path.
func New(base string) (*Lister, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" {
		return nil, errors.Errorf("instance list address %q is not of the form http://host:port", base)
	}
	transport := &http.Transport{DialContext: new(wire.Dialer).DialContext, MaxConnsPerHost: 1, DisableCompression: true}
	return &Lister{address: "http://" + parsed.Host + "/v1/instances", transport: transport}, nil
}

// Close closes the idle connection.
func (l *Lister) Close() {
	l.transport.CloseIdleConnections()
}

// List implements instances.Lister. Every error wraps ErrUnavailable.
func (l *Lister) List(ctx context.Context) ([]instances.Instance, error) {
	content, err := l.read(ctx)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	var listed []ListedInstance
	if err := json.Unmarshal(content, &listed); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "decode the list: %v", err)
	}
	list := make([]instances.Instance, 0, len(listed))
	for _, entry := range listed {
		list = append(list, instances.Instance(entry))
	}
	if err := check(list); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}

func (l *Lister) read(ctx context.Context) ([]byte, error) {
	ctx = new(wire.Attempt).Context(ctx) // starts the check of the response's head
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.address, nil)
	if err != nil {
		return nil, err
	}
	response, err := l.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", response.StatusCode)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err == nil && len(content) > maxListBytes {
		err = errors.Errorf("list exceeds %d bytes", maxListBytes)
	}
	return content, err
}

// check rejects lists in which the membership could confuse two instances.
func check(list []instances.Instance) error {
	seen := map[string]bool{}
	for _, instance := range list {
		if instance.Name == "" || instance.Address == "" || instance.Domain == "" {
			return errors.Errorf("instance %q has no name, address or domain", instance.Name)
		}
		if instance.State != instances.Live && instance.State != instances.Leaving {
			return errors.Errorf("instance %q has unknown state %q", instance.Name, instance.State)
		}
		if seen[instance.Name] {
			return errors.Errorf("instance %q is listed twice", instance.Name)
		}
		seen[instance.Name] = true
	}
	return nil
}

var _ instances.Lister = (*Lister)(nil)
