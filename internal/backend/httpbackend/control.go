package httpbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/wire"
)

// maxControlBytes limits the size of the response to a control call.
const maxControlBytes = 1 << 20

// ErrControl means that a control call got no valid response. It may still have taken effect.
var ErrControl = errors.New("httpbackend: no valid response to the control call; repeat it at the next renewal")

// Grant implements backend.Server.
func (s *Server) Grant(ctx context.Context, grant backend.Grant) (backend.GrantResponse, error) {
	var response GrantResponse
	status, err := s.call(ctx, http.MethodPost, backend.PathGrant, NewGrantRequest(grant), &response)
	if err != nil {
		return backend.GrantResponse{}, err
	}
	decoded, err := response.Decode()
	if err != nil {
		return backend.GrantResponse{}, errors.Wrapf(ErrControl, "grant to server %s: %v", s.name, err)
	}
	if status == http.StatusConflict {
		return decoded, errors.Wrapf(backend.ErrHigherToken, "grant of %s to server %s", grant.Order.Shard, s.name)
	}
	return decoded, nil
}

// Health implements backend.Server.
func (s *Server) Health(ctx context.Context) (backend.Health, error) {
	var response HealthResponse
	_, err := s.call(ctx, http.MethodGet, backend.PathHealth, nil, &response)
	return backend.Health(response), err
}

// Load implements backend.Server.
func (s *Server) Load(ctx context.Context) (backend.Load, error) {
	var response LoadResponse
	_, err := s.call(ctx, http.MethodGet, backend.PathLoad, nil, &response)
	return backend.Load(response), err
}

// Drain implements backend.Server.
func (s *Server) Drain(ctx context.Context, order backend.Order) error {
	status, err := s.call(ctx, http.MethodPost, backend.PathDrain, NewOrderRequest(order), nil)
	if err == nil && status == http.StatusConflict {
		return errors.Wrapf(backend.ErrHigherToken, "drain of server %s", s.name)
	}
	return err
}

// call sends one control call. It decodes the body of a response with status 200 or 409.
// The response counts only once it is complete: one that goes on after a valid value may
// never end.
func (s *Server) call(ctx context.Context, method, path string, in, out any) (int, error) {
	content, err := json.Marshal(in)
	if err != nil {
		return 0, errors.Wrapf(err, "control call %s", path)
	}
	ctx = new(wire.Attempt).Context(ctx) // starts the check of the response's head
	message, err := http.NewRequestWithContext(ctx, method, "http://"+s.address+path, io.NopCloser(bytes.NewReader(content)))
	if err != nil {
		return 0, errors.Wrapf(err, "control call %s", path)
	}
	message.ContentLength = int64(len(content))
	response, err := s.control.RoundTrip(message)
	if err != nil {
		return 0, &controlError{server: s.name, path: path, cause: err}
	}
	defer response.Body.Close()
	status := response.StatusCode
	if status != http.StatusOK && status != http.StatusConflict {
		return status, &controlError{server: s.name, path: path, cause: errors.Errorf("status %d", status)}
	}
	content, err = readControlBody(response.Body)
	if err == nil && out != nil {
		err = json.Unmarshal(content, out)
	}
	if err != nil {
		return status, &controlError{server: s.name, path: path, cause: err}
	}
	return status, nil
}

func readControlBody(body io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxControlBytes+1))
	if err == nil && len(content) > maxControlBytes {
		err = errors.Errorf("the response is longer than %d bytes", maxControlBytes)
	}
	return content, errors.Wrap(err, "read response")
}
