package backhttp

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// updateIdleTimeout derives the idle timeout from the server's Keep-Alive header.
func (c *conn) updateIdleTimeout(header http.Header) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = time.Duration(float64(n) * idleTimeoutFraction * float64(time.Second))
		}
	}
}

// canReuse reports whether the connection may carry another request at the time now.
func (c *conn) canReuse(now time.Time) bool {
	return c.reusable.Load() && !c.closed.Load() && now.Sub(c.idleSince) < c.idleTimeout
}
