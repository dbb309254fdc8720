package platform_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/platform"
	"peridotmoor.org/peridotmoor/internal/instances"
	"peridotmoor.org/peridotmoor/internal/instances/httplist"
	"peridotmoor.org/peridotmoor/internal/instances/instancestest"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/httpstore"
	"peridotmoor.org/peridotmoor/internal/store/storetest"
)

func startPlatform(t *testing.T) (*platform.Server, *httptest.Server) {
	p := platform.New()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, server
}

func TestStoreContractOverHTTP(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Harness {
		p, server := startPlatform(t)
		s, err := httpstore.New(server.URL, 4)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return storetest.Harness{Store: s, Backing: p.Store()}
	})
}

func TestInstancesContractOverHTTP(t *testing.T) {
	instancestest.Run(t, func(t *testing.T, content []instances.Instance) instances.Lister {
		p, server := startPlatform(t)
		for _, instance := range content {
			p.InstanceList().Set(instance)
		}
		lister, err := httplist.New(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(lister.Close)
		return lister
	})
}

// Guards against a list that shows a change before the lag has passed, or never.
func TestInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := platform.NewInstanceList()
		list.Set(instances.Instance{Name: "a"})
		list.SetLag(time.Minute)
		list.Remove("a")
		list.Set(instances.Instance{Name: "b"})
		is.Equal(len(list.Instances()), 1)
		time.Sleep(time.Minute - time.Millisecond)
		is.Equal(list.Instances()[0].Name, "a")
		time.Sleep(time.Millisecond)
		is.Equal(len(list.Instances()), 1)
		is.Equal(list.Instances()[0].Name, "b")
	})
}

// Guards against a refused connection that is reported as a write that may have
// taken effect: the caller would read the key back instead of retrying after the outage.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	s, err := httpstore.New("http://"+address, 2)
	is.NoErr(err)
	_, err = s.CompareAndSwap(t.Context(), "k", 0, []byte("x"), "")
	is.True(errors.Is(err, store.ErrUnavailable))
	is.True(!errors.Is(err, store.ErrUncertain))
}

// Guards against transport failures that are reported as "not written" although the
// write may have taken effect.
func TestBrokenResponsesToAWrite(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"closed without a response", func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }, store.ErrUncertain},
		{"server error", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, store.ErrUncertain},
		{"no revision", func(w http.ResponseWriter, r *http.Request) {}, store.ErrUncertain},
		{"truncated response", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("x"))
		}, store.ErrUncertain},
		{"refused as unavailable", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, store.ErrUnavailable},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(test.handler)
			defer server.Close()
			s, err := httpstore.New(server.URL, 2)
			is.NoErr(err)
			defer s.Close()
			_, err = s.CompareAndSwap(t.Context(), "k", 0, []byte("x"), "")
			is.True(errors.Is(err, test.want))
			is.Equal(errors.Is(err, store.ErrUncertain), test.want == store.ErrUncertain)
		})
	}
}

// Guards against invalid lists that would let the membership mix up instances.
func TestInvalidListsAreRejected(t *testing.T) {
	a := httplist.ListedInstance{Name: "a", Address: "127.0.0.1:1", Domain: "d", State: instances.Live}
	without := func(change func(*httplist.ListedInstance)) string {
		b := a
		change(&b)
		content, _ := json.Marshal([]httplist.ListedInstance{b})
		return string(content)
	}
	twice, _ := json.Marshal([]httplist.ListedInstance{a, a})
	cases := map[string]string{
		"not JSON":      "[",
		"null element":  "[null]",
		"no name":       without(func(i *httplist.ListedInstance) { i.Name = "" }),
		"no address":    without(func(i *httplist.ListedInstance) { i.Address = "" }),
		"no domain":     without(func(i *httplist.ListedInstance) { i.Domain = "" }),
		"unknown state": without(func(i *httplist.ListedInstance) { i.State = "gone" }),
		"listed twice":  string(twice),
	}
	for name, content := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(content))
			}))
			defer server.Close()
			lister, err := httplist.New(server.URL)
			is.NoErr(err)
			defer lister.Close()
			_, err = lister.List(t.Context())
			is.True(errors.Is(err, httplist.ErrUnavailable))
		})
	}
}

// Guards against control calls that are accepted but have no effect.
func TestControlEndpoints(t *testing.T) {
	is := is.New(t)
	p, server := startPlatform(t)
	post := func(path, body string) int {
		response, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	is.Equal(post("/dev/faults", `{"down":true}`), http.StatusNoContent)
	_, err := p.Store().Get(context.Background(), "k")
	is.True(errors.Is(err, store.ErrUnavailable))
	is.Equal(post("/dev/faults", `{`), http.StatusBadRequest)
	is.Equal(post("/dev/instances", `{"name":"a","address":"h:1","domain":"d","state":"live"}`), http.StatusNoContent)
	is.Equal(p.InstanceList().Instances(), []instances.Instance{{Name: "a", Address: "h:1", Domain: "d", State: instances.Live}})
	is.Equal(post("/dev/instances", `{}`), http.StatusBadRequest)
}
