package backhttp

import (
	"io"
	"testing"
)

// FuzzResponse guards against bytes from a server that make the connection panic or hang,
// and against a response that passes for the answer to another request.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(responseText("a", "whole")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + responseText("other", "other") + responseText("a", "whole") + "more"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n0\r\nT: t\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 099 OK\r\nId: a\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.0 304 Not Modified\r\nId: a\r\nContent-Length: 9999999\r\nKeep-Alive: timeout=-1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		pool, _, closed := newPipePool(t, func(s *pipeServer) {
			_, _ = s.Write(sent)
			_ = s.Close()
		})
		response, err := pool.Do(t.Context(), newRequest("a"))
		if err == nil {
			if response.Header.Get("Id") != "a" || response.Status < 200 {
				t.Errorf("took status %d with ID %q for the response", response.Status, response.Header.Get("Id"))
			}
			if response.Remainder != nil {
				_, _ = io.Copy(io.Discard, response.Remainder)
				_ = response.Remainder.Close()
			}
		}
		pool.Close()
		<-closed
	})
}
