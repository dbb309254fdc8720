package progress

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a body that is ended although it makes progress, a body that hangs
// forever on either side, and an idle timer that fires after the end of its body.
func TestReaderStopsOnlyStalledBodies(t *testing.T) {
	cases := []struct {
		name string
		// pause is the receiver's time between reads.
		pause     time.Duration
		wantBytes int
		wantErr   error
	}{
		{"receiver reads a byte within the timeout", 4 * time.Second, 6, nil},
		{"receiver reads nothing within the timeout", 6 * time.Second, 0, ErrStalled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var stalls, ends atomic.Int64
				bytes := 0
				r := NewReader(strings.NewReader("upload"), DefaultIdleTimeout, func() { stalls.Add(1) }, func() { ends.Add(1) })
				var err error
				for err == nil {
					time.Sleep(c.pause)
					var n int
					n, err = r.Read(make([]byte, 1))
					bytes += n
				}
				if err == io.EOF {
					err = nil
				}
				is.Equal(err, c.wantErr)
				is.Equal(bytes, c.wantBytes)
				is.Equal(r.Bytes(), int64(c.wantBytes))
				time.Sleep(time.Minute)
				is.Equal(stalls.Load() == 1, c.wantErr != nil)
				is.Equal(ends.Load() == 1, c.wantErr == nil)
			})
		})
	}
}
