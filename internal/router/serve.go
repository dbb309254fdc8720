package router

import (
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// serve runs an HTTP server; a closed server is not an error.
func serve(server *http.Server, listener net.Listener, what string) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, what)
}
