package main

import (
	"net/http"
	"time"
)

// encodedSlash sends orders whose last path segment holds an encoded slash. With trouble,
// that segment begins like the prefix of a longer route.
func encodedSlash(w *world) error {
	w.configureRoutes([]string{"orders", "archive"}, map[string]string{"/orders/": "orders", "/orders/archive/": "archive"})
	for _, service := range []string{"orders", "archive"} {
		for range 2 {
			err := w.addUpstream(&upstream{service: service, duration: func(*http.Request) time.Duration { return 20 * time.Millisecond }})
			if err != nil {
				return err
			}
		}
	}
	if err := w.startInstances(3); err != nil {
		return err
	}
	path := "/orders/box%2F7"
	if w.trouble {
		path = "/orders/archive%2F7"
	}
	w.onRun = func(u *upstream, r *http.Request) {
		if u.service != "orders" {
			w.breaks("ROUTE: %s %s, whose path begins with /orders/ and not with /orders/archive/, is run by %s of service %s", r.Method, r.RequestURI, u.id, u.service)
		}
	}
	c := w.newConsumer()
	for n := range 12 {
		c.send(w.newID(), w.instances[n%len(w.instances)], "POST", path, noKey, 2*time.Second)
	}
	return nil
}
