package backend

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/payload"
)

const (
	// maxReadDelay is how long a server that answers early waits at most before it reads.
	maxReadDelay = time.Second
	// minReadPause and maxReadPause bound its pause after each readBytes.
	minReadPause = time.Millisecond
	maxReadPause = 10 * time.Millisecond
	readBytes    = 16 << 10
)

// receiveBuffers are the sizes from which the receive buffer of a server that answers early is
// drawn; 0 leaves that of the system.
var receiveBuffers = []int{4 << 10, 16 << 10, 64 << 10, 0}

// listenSmall listens with a receive buffer of the given size. Connections inherit it.
func listenSmall(receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if receiveBuffer > 0 {
			_ = raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
}

// answerEarly answers a request with success before it has read the body, and reads it later. It
// reports whether the complete response was written.
func (i *incarnation) answerEarly(w http.ResponseWriter, r *http.Request, stamp string) bool {
	control := http.NewResponseController(w)
	if control.EnableFullDuplex() != nil {
		return false
	}
	response := payload.Make(stamp, queryInt(r, "size"))
	w.Header().Set("X-Response-Stamp", stamp)
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	_, err := w.Write(response)
	if err != nil || control.Flush() != nil {
		panic(http.ErrAbortHandler)
	}
	body := Body{RequestID: r.Header.Get("X-Attempt-Id"), Server: i.id}
	time.Sleep(time.Duration(rand.Int64N(int64(maxReadDelay))))
	pause := minReadPause + time.Duration(rand.Int64N(int64(maxReadPause-minReadPause)))
	content := []byte{}
	for part := make([]byte, readBytes); err == nil; time.Sleep(pause) {
		var n int
		n, err = io.ReadFull(r.Body, part)
		content = append(content, part[:n]...)
	}
	body.Bytes, body.EndedAt = len(content), time.Now()
	body.Whole = payload.Check(body.RequestID, len(content), content) == nil
	if i.ctx.Err() == nil { // otherwise the server has ended itself
		i.arrivals.addBody(body)
	}
	return true
}
