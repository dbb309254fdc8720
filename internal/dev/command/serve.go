package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// stopTimeout limits how long a stand-in waits for open calls when it shuts down.
const stopTimeout = 500 * time.Millisecond

// serve serves HTTP on address until ctx is done. It prints the address that it
// listens on, so that a parent process learns the port.
func serve(ctx context.Context, out io.Writer, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "cannot listen on %s; choose another --listen address", address)
	}
	fmt.Fprintf(out, "listening %s\n", listener.Addr())
	server := &http.Server{Handler: handler}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "the server ended")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
	return nil
}
