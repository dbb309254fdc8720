// Command peridotmoorctl is the command-line tool for operators; see docs/operators/.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"peridotmoor.org/peridotmoor/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], ctl.Env{
		Stdout:       os.Stdout,
		Stderr:       os.Stderr,
		Connect:      connect,
		ReadPlatform: readPlatform,
		Client:       &http.Client{},
		Now:          time.Now,
		Getenv:       os.Getenv,
	})
	stop()
	os.Exit(code)
}
