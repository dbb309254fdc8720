package entrynode

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validFile = `[instance]
name = a
domain = d
first_start = true
processor_share = 0.32
memory_mb = 256
descriptors = 3075
[listen]
callers = 127.0.0.1:1
ready = 127.0.0.1:2
peers = 127.0.0.1:3
metrics = 127.0.0.1:4
[store]
address = 127.0.0.1:5
[bounds]
grace_s = 6
retry_ratio = 0.2
retry_extra = 64
retry_window_s = 10
`

// Guards against settings that are assigned to the wrong field or converted wrongly.
func TestParse(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(validFile), "f")
	is.NoErr(err)
	is.Equal(c, Config{Name: "a", Domain: "d", FirstStart: true, ProcessorShare: 0.32, Memory: 256 << 20, Descriptors: 3075, CallerAddress: "127.0.0.1:1", ReadinessAddress: "127.0.0.1:2", PeerAddress: "127.0.0.1:3",
		MetricsAddress: "127.0.0.1:4", StoreAddress: "127.0.0.1:5", GracePeriod: 6 * time.Second, RetryRatio: 0.2, RetryExtra: 64, RetryWindow: 10 * time.Second, DomainOutLimit: 5 * time.Second})
}

// Guards against a settings file of an earlier version that is refused.
func TestMemoryMayBeMissing(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(strings.Replace(validFile, "memory_mb = 256\n", "", 1)), "f")
	is.NoErr(err)
	is.Equal(c.Memory, int64(144<<20))
}

// Guards against a settings file of an earlier version that is refused, and against the time of a
// deployment that is lost.
func TestDomainOutLimitIsOptional(t *testing.T) {
	is := is.New(t)
	for line, want := range map[string]time.Duration{"": 5 * time.Second, "domain_out_s =\n": 5 * time.Second, "domain_out_s = 2.5\n": 2500 * time.Millisecond} {
		c, err := Parse([]byte(strings.Replace(validFile, "[bounds]\n", "[bounds]\n"+line, 1)), "f")
		is.NoErr(err)
		is.Equal(c.DomainOutLimit, want)
	}
}

// Guards against hedges that the settings do not call for, and against a share that is lost.
func TestHedgeShareIsOptional(t *testing.T) {
	is := is.New(t)
	for line, want := range map[string]float64{"": 0, "hedge_share =\n": 0, "hedge_share = 0\n": 0, "hedge_share = 0.05\n": 0.05, "hedge_share = 1\n": 1} {
		c, err := Parse([]byte(validFile+line), "f")
		is.NoErr(err)
		is.Equal(c.HedgeShare, want)
	}
}

// Guards against a start with invalid settings, and against an error that does not
// name the setting and the remedy.
func TestErrorsNameFieldAndRemedy(t *testing.T) {
	for name, c := range map[string]struct{ old, next, want string }{
		"missing":        {"name = a\n", "", `f: [instance] name = "": is missing; set it`},
		"no address":     {"127.0.0.1:5", "nowhere", `f: [store] address = "nowhere": is not a network address; use host:port`},
		"no number":      {"retry_ratio = 0.2", "retry_ratio = much", `f: [bounds] retry_ratio = "much": is not a non-negative number; use a number of 0 or more`},
		"negative":       {"grace_s = 6", "grace_s = -1", `f: [bounds] grace_s = "-1": is not a non-negative number; use a number of 0 or more`},
		"no duration":    {"grace_s = 6", "grace_s = 0", `f: [bounds] grace_s = "0": is not a positive duration; use a number of seconds above 0`},
		"no boolean":     {"first_start = true", "first_start = perhaps", `f: [instance] first_start = "perhaps": is not a boolean; set it to true or false`},
		"descriptors":    {"descriptors = 3075", "descriptors = 127", `f: [instance] descriptors = "127": is not a number of descriptors; use a number from 128 to 1048576, or leave it out for the limit of the process`},
		"no size":        {"memory_mb = 256", "memory_mb = much", `f: [instance] memory_mb = "much": is not a size of memory; use a number of MB from 64 to 1048576, or leave it out for 144`},
		"too little":     {"memory_mb = 256", "memory_mb = 63", `memory_mb = "63": is not a size of memory`},
		"too much":       {"memory_mb = 256", "memory_mb = 1e300", `memory_mb = "1e300": is not a size of memory`},
		"NaN":            {"memory_mb = 256", "memory_mb = NaN", `memory_mb = "NaN": is not a size of memory`},
		"no time":        {"retry_window_s = 10", "retry_window_s = 10\ndomain_out_s = 0", `f: [bounds] domain_out_s = "0": is not a positive duration; use a number of seconds above 0, up to 3600, or leave it out for 5`},
		"endless":        {"retry_window_s = 10", "retry_window_s = 10\ndomain_out_s = 1e300", `[bounds] domain_out_s = "1e300": is not a positive duration`},
		"above 1":        {"retry_window_s = 10", "retry_window_s = 10\nhedge_share = 1.5", `f: [bounds] hedge_share = "1.5": is not a share; use a number from 0 to 1, or remove it to send no hedges`},
		"not a number":   {"retry_window_s = 10", "retry_window_s = 10\nhedge_share = NaN", `[bounds] hedge_share = "NaN": is not a share`},
		"below 0":        {"retry_window_s = 10", "retry_window_s = 10\nhedge_share = -0.1", `[bounds] hedge_share = "-0.1": is not a share`},
		"not INI at all": {"[instance]", "[instance", "not readable as INI"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(strings.Replace(validFile, c.old, c.next, 1)), "f")
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// FuzzParse guards against a settings file that makes Parse panic or that it accepts
// without the required settings.
func FuzzParse(f *testing.F) {
	f.Add(validFile)
	f.Fuzz(func(t *testing.T, text string) {
		if c, err := Parse([]byte(text), "f"); err == nil && (c.Name == "" || c.GracePeriod <= 0) {
			t.Error("accepted without a name or a grace period")
		}
	})
}
