package servers_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
	"peridotmoor.org/peridotmoor/internal/dev/ports"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

var (
	shard = key.ShardID{Service: "bosho"}
	order = backend.Order{Shard: shard, Token: authority.Token{Epoch: 1, Ballot: 1}}
)

// testServer is a fleet of one server, with its control and client.
type testServer struct {
	*serverControl
	fleet  *servers.Fleet
	client *httpbackend.Server
}

func startTestServer(t *testing.T, config servers.Config) testServer {
	t.Helper()
	config.Name, config.Service = "bosho-1", "bosho"
	fleet, err := servers.NewFleet([]servers.Config{config})
	if err != nil {
		t.Fatal(err)
	}
	server := fleet.Server("bosho-1")
	client := httpbackend.New("bosho-1", server.Address(), 130)
	t.Cleanup(func() {
		fleet.Close()
		client.Close()
	})
	return testServer{serverControl: &serverControl{Server: server, log: fleet.Log()}, fleet: fleet, client: client}
}

// send sends a request, reads the response body and returns the error.
func (r testServer) send(ctx context.Context, id, path string, body []byte) error {
	response, err := r.client.Send(ctx, order, &request.Request{ID: id, Key: "k", Method: "POST", Path: path,
		Buffered: body, Deadline: time.Now().Add(30 * time.Second)})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// sendTwo runs two requests at the same time and returns the error of the second.
func (r testServer) sendTwo(t *testing.T, round string) error {
	t.Helper()
	r.FailNext("hang")
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() { first <- r.send(ctx, "first-"+round, "/p", nil) }()
	r.WaitUntilStarted(t.Context(), "first-"+round)
	err := r.send(t.Context(), "second-"+round, "/p", nil)
	cancel()
	<-first
	r.ExecutionCount(t.Context(), "first-"+round)
	return err
}

// Guards against a cold server that tolerates any load: the demo would not show
// that a router overloads it.
func TestColdServerCrashesOnOverload(t *testing.T) {
	is := is.New(t)
	r := startTestServer(t, servers.Config{ColdStart: servers.ColdStartConfig{WarmUpRequests: 100, MaxOverloads: 1, CrashOnOverload: true}})
	before := r.Incarnation()
	is.NoErr(r.sendTwo(t, "1"))
	is.Equal(r.Incarnation(), before)
	err := r.sendTwo(t, "2")
	is.True(err != nil)
	is.Equal(problem.From(err).Stage, outcome.StageWritten)
	is.Equal(r.ExecutionCount(t.Context(), "second-2"), 1)
	r.Close()
	is.Equal(r.Incarnation(), "")
}

// Guards against treating a restart at a fixed address as the first start, which may be warm.
func TestRestartedServerIsCold(t *testing.T) {
	is := is.New(t)
	reservation, err := ports.Reserve(1)
	is.NoErr(err)
	t.Cleanup(reservation.Release)
	r := startTestServer(t, servers.Config{Address: reservation.Addresses[0], StartWarm: true, ColdStart: servers.ColdStartConfig{WarmUpRequests: 100, CrashOnOverload: true}})
	is.NoErr(r.sendTwo(t, "1"))
	r.Crash()
	is.NoErr(r.Start())
	// A request on a connection of the crashed incarnation would not arrive.
	r.client.Close()
	is.True(r.sendTwo(t, "2") != nil)
}

// Guards against a warm server that crashes under its normal load.
func TestWarmServerRunsAllItsSlots(t *testing.T) {
	is := is.New(t)
	r := startTestServer(t, servers.Config{StartWarm: true, ColdStart: servers.ColdStartConfig{WarmUpRequests: 100, CrashOnOverload: true}})
	is.NoErr(r.sendTwo(t, "1"))
	is.NoErr(r.sendTwo(t, "2"))
	r.TurnCold()
	is.True(r.sendTwo(t, "3") != nil)
}

func TestCrashMarkerCrashesTheServer(t *testing.T) {
	for name, send := range map[string]func(testServer) error{
		"in the path": func(r testServer) error { return r.send(t.Context(), "one", "/"+servers.CrashMarker, nil) },
		"in the body": func(r testServer) error {
			return r.send(t.Context(), "one", "/p", append(bytes.Repeat([]byte("x"), 1000), servers.CrashMarker...))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := startTestServer(t, servers.Config{StartWarm: true})
			err := send(r)
			is.Equal(problem.From(err).Kind, problem.KindAnswerLost)
			is.Equal(r.ExecutionCount(t.Context(), "one"), 1)
			r.Crash()
			is.NoErr(r.Start())
			is.NoErr(r.send(t.Context(), "two", "/p", nil))
		})
	}
}

// Guards against a thawed server that executes a request for a key whose grant
// expired while it was frozen: the key would have two owners.
func TestThawedServerRefusesKeysOfExpiredGrant(t *testing.T) {
	is := is.New(t)
	r := startTestServer(t, servers.Config{Keyed: true})
	seen, err := r.client.Grant(t.Context(), backend.Grant{Order: order})
	is.NoErr(err)
	_, err = r.client.Grant(t.Context(), backend.Grant{Order: order, Ranges: []key.Range{{}}, Expiry: seen.Clock + time.Hour})
	is.NoErr(err)
	r.Freeze()
	result := make(chan error, 1)
	go func() { result <- r.send(t.Context(), "one", "/p", nil) }()
	r.WaitUntilBlocked(t.Context())
	r.AdvanceClock(time.Hour)
	r.Thaw()
	is.Equal(problem.From(<-result).Stage, outcome.StageRefusedByServer)
	is.Equal(r.ExecutionCount(t.Context(), "one"), 0)
}

// Guards against a monitor that still reports a crashed server as an owner.
func TestCrashEndsOwnership(t *testing.T) {
	is := is.New(t)
	r := startTestServer(t, servers.Config{Keyed: true})
	seen, err := r.client.Grant(t.Context(), backend.Grant{Order: order})
	is.NoErr(err)
	_, err = r.client.Grant(t.Context(), backend.Grant{Order: order, Ranges: []key.Range{{}}, Expiry: seen.Clock + time.Hour})
	is.NoErr(err)
	owner := func() string { return r.fleet.Monitor().Owner("bosho", key.HashOf("k"), time.Now()) }
	is.Equal(owner(), "bosho-1")
	intervals, _ := r.fleet.Monitor().Intervals()
	is.Equal(len(intervals), 1)
	is.True(intervals[0].Until.After(time.Now().Add(time.Minute)))
	r.Crash()
	is.Equal(owner(), "")
	intervals, _ = r.fleet.Monitor().Intervals()
	is.Equal(len(intervals), 1)
	is.True(!intervals[0].Until.After(time.Now()))
}

// Guards against an execution that is missing from the run log because a crash reset its connection.
func TestRunLogHasExecutionsEndedByCrash(t *testing.T) {
	is := is.New(t)
	r := startTestServer(t, servers.Config{StartWarm: true})
	result := make(chan error, 1)
	go func() { result <- r.send(t.Context(), "one", "/p?work_ms=3600000", nil) }()
	r.WaitUntilStarted(t.Context(), "one")
	r.Crash()
	err := <-result
	is.True(err != nil)
	is.Equal(problem.From(err).Stage, outcome.StageWritten)
	is.Equal(r.ExecutionCount(t.Context(), "one"), 1)
	executions, _ := r.fleet.Log().Snapshot()
	is.True(!executions[0].Answered)
	is.True(!executions[0].Cancelled)
}

// Guards against a server that accepts more connections than its limit.
func TestConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	r := startTestServer(t, servers.Config{StartWarm: true, MaxConnections: 1})
	r.FailNext("hang")
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() { first <- r.send(ctx, "one", "/p", nil) }()
	r.WaitUntilStarted(t.Context(), "one")
	is.True(r.send(t.Context(), "two", "/p", nil) != nil)
	cancel()
	<-first
	is.Equal(r.ExecutionCount(t.Context(), "two"), 0)
}
