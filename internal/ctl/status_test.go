package ctl

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against counting the response of an endpoint that is not an instance as a status.
func TestAskRefusesOtherAnswers(t *testing.T) {
	cases := []struct {
		name   string
		code   int
		body   string
		err    error
		reason string
	}{
		{"refused", 0, "", errors.New("connection refused"), "connection refused"},
		{"not found", http.StatusNotFound, "no", nil, "404"},
		{"no JSON", http.StatusOK, "ok", nil, "did not answer with a status"},
		{"other JSON", http.StatusOK, `{"settings_version": 9}`, nil, "did not answer with a status"},
		{"too long", http.StatusOK, `{"instance": "` + strings.Repeat("x", maxStatusBytes) + `"}`, nil, "did not answer with a status"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			transport := roundTripper(func(*http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: c.code, Status: http.StatusText(c.code) + " 404", Body: io.NopCloser(strings.NewReader(c.body))}, c.err
			})
			tool := &tool{env: Env{Client: &http.Client{Transport: transport}}}
			_, err := tool.fetchStatus(t.Context(), "a:1")
			if err == nil || !strings.Contains(err.Error(), c.reason) {
				t.Errorf("got %v, want %q", err, c.reason)
			}
		})
	}
}

// Guards against sending a request to an address that is not host:port.
func TestAskRefusesBadAddress(t *testing.T) {
	tool := &tool{env: Env{Client: &http.Client{}}}
	if _, err := tool.fetchStatus(t.Context(), "a b:1"); exitCode(err) != ExitUsage {
		t.Errorf("got %v, want a usage error", err)
	}
}
