package router

import (
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// serve runs an HTTP server until it is closed, which is not an error.
func serve(server *http.Server, listener net.Listener, operation string) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, operation)
}
