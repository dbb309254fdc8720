package system

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/platform"
	"peridotmoor.org/peridotmoor/internal/dev/ports"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
	"peridotmoor.org/peridotmoor/internal/nodeconfig"
	"peridotmoor.org/peridotmoor/internal/router"
	"peridotmoor.org/peridotmoor/internal/settings/version"
	"peridotmoor.org/peridotmoor/internal/store/httpstore"
)

// readyInterval is the time between two readiness probes of an instance.
const readyInterval = 20 * time.Millisecond

// cluster is the platform stand-in, the backend servers of the Kyushu settings and
// one instance in each failure domain.
type cluster struct {
	platform  string
	fleet     *servers.Fleet
	instances []*runningInstance
}

// runningInstance is an instance whose Run has been started.
type runningInstance struct {
	config nodeconfig.Config
	stop   context.CancelFunc
	done   chan error
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	platformServer := httptest.NewServer(platform.New())
	t.Cleanup(platformServer.Close)
	c := &cluster{platform: platformServer.URL}
	c.startServers(t)
	for _, domain := range []string{"kyu-kita", "kyu-naka", "kyu-minami"} {
		c.startInstance(t, domain)
	}
	for _, i := range c.instances {
		i.waitReady(t)
	}
	return c
}

// startServers starts the servers of the settings tree and applies the tree with their addresses.
func (c *cluster) startServers(t *testing.T) {
	t.Helper()
	text, err := os.ReadFile("../../../examples/kyushu.ini")
	requireNoError(t, err)
	configs, err := servers.ConfigsFromTree(text, servers.Config{ServiceTimes: servers.ServiceTimes{Median: 2 * time.Millisecond}, StartWarm: true})
	requireNoError(t, err)
	addresses := reserveAddresses(t, len(configs))
	for i := range configs {
		configs[i].Address = addresses[i]
		section := regexp.MustCompile(`(?s)(\[server\.` + regexp.QuoteMeta(configs[i].Name) + `\].*?address *= *)\S+`)
		text = section.ReplaceAll(text, []byte("${1}"+addresses[i]))
	}
	c.fleet, err = servers.NewFleet(configs)
	requireNoError(t, err)
	t.Cleanup(c.fleet.Close)
	s, err := httpstore.New(c.platform, 2)
	requireNoError(t, err)
	_, err = version.Apply(t.Context(), s, version.Proposal{Text: string(text), FileName: "kyushu.ini", Author: "test", Time: time.Now()})
	requireNoError(t, err)
}

func (c *cluster) startInstance(t *testing.T, domain string) {
	t.Helper()
	addresses := reserveAddresses(t, 3)
	config := nodeconfig.Config{
		Instance: nodeconfig.Instance{Name: "entry-" + domain, Domain: domain, Region: "kyushu"},
		Listen:   nodeconfig.Listen{Callers: addresses[0], Peers: addresses[1], Operators: addresses[2]},
		Platform: nodeconfig.Platform{Store: c.platform, Instances: c.platform},
		Records:  nodeconfig.Records{Path: t.TempDir() + "/records"},
	}
	for _, other := range c.instances {
		config.Peers.Addresses = append(config.Peers.Addresses, other.config.Listen.Peers)
	}
	instance, err := router.New(t.Context(), config)
	requireNoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	i := &runningInstance{config: config, stop: stop, done: make(chan error, 1)}
	go func() { i.done <- instance.Run(ctx) }()
	c.instances = append(c.instances, i)
	t.Cleanup(i.stopAndWait)
}

// stopAndWait performs a planned stop and waits for its end. It may be called twice.
func (i *runningInstance) stopAndWait() {
	i.stop()
	if err, open := <-i.done; open {
		close(i.done)
		if err != nil {
			panic(err)
		}
	}
}

func (i *runningInstance) waitReady(t *testing.T) {
	t.Helper()
	for t.Context().Err() == nil {
		if i.isReady() {
			return
		}
		time.Sleep(readyInterval)
	}
	t.Fatalf("%s did not become ready", i.config.Instance.Name)
}

// isReady probes the readiness endpoint as the load balancer does.
func (i *runningInstance) isReady() bool {
	response, err := http.Get("http://" + i.config.Listen.Operators + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// reserveAddresses reserves addresses until what the test starts later has stopped.
func reserveAddresses(t *testing.T, count int) []string {
	t.Helper()
	reservation, err := ports.Reserve(count)
	requireNoError(t, err)
	t.Cleanup(reservation.Release)
	return reservation.Addresses
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
