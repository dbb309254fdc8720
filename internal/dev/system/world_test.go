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

// readyInterval is the time between two questions whether an instance is ready.
const readyInterval = 20 * time.Millisecond

// world is the platform, the backend servers of the Kyushu settings and one
// instance in each failure domain.
type world struct {
	platform  string
	fleet     *servers.Fleet
	instances []*runningInstance
}

// runningInstance is one instance that Run serves.
type runningInstance struct {
	config nodeconfig.Config
	stop   context.CancelFunc
	done   chan error
}

func start(t *testing.T) *world {
	t.Helper()
	stand := httptest.NewServer(platform.New())
	t.Cleanup(stand.Close)
	w := &world{platform: stand.URL}
	w.startServers(t)
	for _, domain := range []string{"kyu-kita", "kyu-naka", "kyu-minami"} {
		w.startInstance(t, domain)
	}
	for _, i := range w.instances {
		i.awaitReady(t)
	}
	return w
}

// startServers starts the servers of the tree and applies it with their addresses.
func (w *world) startServers(t *testing.T) {
	t.Helper()
	text, err := os.ReadFile("../../../examples/kyushu.ini")
	check(t, err)
	configs, err := servers.ConfigsFromTree(text, servers.Config{ServiceTimes: servers.ServiceTimes{Median: 2 * time.Millisecond}, StartWarm: true})
	check(t, err)
	addresses, err := ports.FreeAddresses(len(configs))
	check(t, err)
	for i := range configs {
		configs[i].Address = addresses[i]
		section := regexp.MustCompile(`(?s)(\[server\.` + regexp.QuoteMeta(configs[i].Name) + `\].*?address *= *)\S+`)
		text = section.ReplaceAll(text, []byte("${1}"+addresses[i]))
	}
	w.fleet, err = servers.NewFleet(configs)
	check(t, err)
	t.Cleanup(w.fleet.Close)
	s, err := httpstore.New(w.platform, 2)
	check(t, err)
	_, err = version.Apply(t.Context(), s, version.Proposal{Text: string(text), FileName: "kyushu.ini", Author: "test", Time: time.Now()})
	check(t, err)
}

func (w *world) startInstance(t *testing.T, domain string) {
	t.Helper()
	addresses, err := ports.FreeAddresses(3)
	check(t, err)
	config := nodeconfig.Config{
		Instance: nodeconfig.Instance{Name: "entry-" + domain, Domain: domain, Region: "kyushu"},
		Listen:   nodeconfig.Listen{Callers: addresses[0], Peers: addresses[1], Operators: addresses[2]},
		Platform: nodeconfig.Platform{Store: w.platform, Instances: w.platform},
		Records:  nodeconfig.Records{Path: t.TempDir() + "/records"},
	}
	for _, other := range w.instances {
		config.Peers.Addresses = append(config.Peers.Addresses, other.config.Listen.Peers)
	}
	instance, err := router.New(t.Context(), config)
	check(t, err)
	ctx, stop := context.WithCancel(context.Background())
	i := &runningInstance{config: config, stop: stop, done: make(chan error, 1)}
	go func() { i.done <- instance.Run(ctx) }()
	w.instances = append(w.instances, i)
	t.Cleanup(i.end)
}

// end does a planned stop and waits for it. It may be called twice.
func (i *runningInstance) end() {
	i.stop()
	if err, open := <-i.done; open {
		close(i.done)
		if err != nil {
			panic(err)
		}
	}
}

func (i *runningInstance) awaitReady(t *testing.T) {
	t.Helper()
	for t.Context().Err() == nil {
		if i.isReady() {
			return
		}
		time.Sleep(readyInterval)
	}
	t.Fatalf("%s did not become ready", i.config.Instance.Name)
}

// isReady asks like the load balancer does.
func (i *runningInstance) isReady() bool {
	response, err := http.Get("http://" + i.config.Listen.Operators + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
