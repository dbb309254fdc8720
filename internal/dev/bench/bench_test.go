package bench

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/settings"
)

// Guards against a generated settings tree that routers would refuse or that does not
// have the configured size.
func TestGeneratedTreeIsValid(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"default":     func(*Options) {},
		"keyed":       func(o *Options) { o.Keyed = true },
		"many shards": func(o *Options) { o.Services, o.ShardsPerService, o.Servers = 4, 64, 640 },
		"ranges":      func(o *Options) { o.Ranges = 20 },
		"few keys":    func(o *Options) { o.Ranges, o.KeysPerService = 20, 3 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := DefaultOptions()
			change(&o)
			is.NoErr(o.check())
			tree, err := settings.Parse(settingsText(o, nil, 0), "tree.ini")
			is.NoErr(err)
			is.Equal(len(tree.Services()), o.Services)
			is.Equal(strings.Count(tree.Text(), "[server."), o.Servers)
			is.Equal(len(tree.Domains()), o.Domains)
		})
	}
}

// Guards against options with which the run would not measure what they state.
func TestBadOptionsAreRefused(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"no routers":             func(o *Options) { o.Routers = 0 },
		"negative rate":          func(o *Options) { o.Rate = -1 },
		"orders over 100":        func(o *Options) { o.WritePercent = 101 },
		"shards without servers": func(o *Options) { o.ShardsPerService = 100 },
		"keyed without grants":   func(o *Options) { o.Keyed, o.Direct = true, true },
		"too long":               func(o *Options) { o.Duration = time.Hour },
	} {
		t.Run(name, func(t *testing.T) {
			o := DefaultOptions()
			change(&o)
			is.New(t).True(o.check() != nil)
		})
	}
}

// Guards against reading the wrong fields when the program name contains spaces or
// parentheses.
func TestProcessorTimeSkipsTheName(t *testing.T) {
	is := is.New(t)
	cpuSeconds, err := parseStat([]byte("7 (a) b (c) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0"))
	is.NoErr(err)
	is.Equal(cpuSeconds, 3.0)
	_, err = parseStat([]byte("7 (short) S 1 2"))
	is.True(err != nil)
}

// Guards against a parser that does not match the format of /proc.
func TestOwnUsageIsRead(t *testing.T) {
	is := is.New(t)
	used, err := readProcessUsage(os.Getpid())
	is.NoErr(err)
	is.True(used.residentBytes > 1<<20)
	_, err = parseStatus("VmSize:\t1 kB\n")
	is.True(err != nil)
	ioBytes, err := parseIO("rchar: 5\nwchar: 7\nsyscr: 9\n")
	is.NoErr(err)
	is.Equal(ioBytes, 12.0)
	_, err = parseIO("rchar: 5\n")
	is.True(err != nil)
}

// Guards against samples that are lost or counted for another message.
func TestMetricsAreSummedByNameAndMessage(t *testing.T) {
	is := is.New(t)
	text := `# HELP x y
m{direction="sent",message="a"} 2
m{direction="received",message="a"} 3
m{direction="sent",message="b"} 1e3
plain 4
`
	sums, err := parseMetrics(text)
	is.NoErr(err)
	is.Equal(sums, metricSums{"m": 1005, "m/a": 5, "m/b": 1000, "plain": 4})
	_, err = parseMetrics("m many\n")
	is.True(err != nil)
}

// Guards against refusals that are included in the latencies, and against late responses
// that are not.
func TestOnlyAnsweredRequestsEnterTheLatencies(t *testing.T) {
	is := is.New(t)
	l := newLatencyRecorder()
	l.add(string(outcome.Answered), 20*time.Millisecond)
	l.add(string(outcome.Answered), time.Hour)
	l.add(string(outcome.NotRun), time.Microsecond)
	answered, sent := l.counts()
	is.Equal(answered, 2)
	is.Equal(sent, 3)
	is.Equal(l.answered.Min()/1000, int64(20))
	is.True(l.answered.Max() >= highestMicros)
}

// Guards against wrong responses that are counted as answered.
func TestResponsesAreClassified(t *testing.T) {
	router, server := target{address: "r"}, target{address: "s", service: "svc", shard: "svc/0"}
	for _, c := range []struct {
		name    string
		to      target
		status  int
		id      string
		outcome string
		want    string
	}{
		{"answered", router, 200, "id", "answered", "answered"},
		{"application error", router, 404, "id", "answered", "answered"},
		{"refused", router, 503, "id", "not-run", "not-run/shed"},
		{"no outcome", router, 200, "id", "", failed},
		{"other request", router, 200, "other", "answered", mismatched},
		{"direct", server, 200, "id", "", "answered"},
		{"direct shed", server, 503, "id", "", refused},
		{"direct other request", server, 200, "other", "", mismatched},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			recorder.Header().Set(backend.HeaderRequestID, c.id)
			recorder.Header().Set(backend.HeaderOutcome, c.outcome)
			recorder.WriteHeader(c.status)
			is.New(t).Equal(classifyResponse(recorder.Result(), []byte(`{"kind":"shed"}`), c.to, "id"), c.want)
		})
	}
}

// Guards against a write that net/http may send twice, and against a read that is marked
// as a write.
func TestRequestsAreMarked(t *testing.T) {
	is := is.New(t)
	s := newSender(10)
	write, err := s.newRequest(t.Context(), target{address: "a"}, call{service: "s", key: "k", write: true}, "id")
	is.NoErr(err)
	is.Equal(write.Method, http.MethodPost)
	is.Equal(write.Header.Get(backend.HeaderIdempotent), "false")
	is.True(write.GetBody == nil)
	is.Equal(write.ContentLength, int64(10))
	read, err := s.newRequest(t.Context(), target{address: "a"}, call{service: "s", key: "k"}, "id")
	is.NoErr(err)
	is.Equal(read.Header.Get(backend.HeaderIdempotent), "true")
	is.True(strings.HasSuffix(read.URL.Path, "/s/k/bench"))
}

// Guards against dropped records that are missing from the figures.
func TestDroppedRecordsAreCounted(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "records")
	text := `{"event":1000,"name":"events_dropped","count":12}
{"event":1001,"name":"instance_started","count":99}
{"event":1000,"name":"events_dropped","count":3}
`
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	counted, err := countRecords(path)
	is.NoErr(err)
	is.Equal(counted, recordCount{written: 3, dropped: 15})
	is.NoErr(os.WriteFile(path, []byte("no record\n"), 0o600))
	_, err = countRecords(path)
	is.True(err != nil)
}
