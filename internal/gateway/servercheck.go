package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

const (
	// maxFactsAge is the age of the last reading of the store above which a server may have
	// been leaving for too long: it may get requests for 2 s after its entry says so. The
	// rest is for the way of a request and for timers that fire late.
	maxFactsAge = 1800 * time.Millisecond
	// domainsAgeShare is the age of the last reading of the domains taken out above which they are
	// read again, as a share of the time for which their servers may get requests. The rest is for
	// a reading that fails and the next one, and for the way of a request.
	domainsAgeShare = 0.6
	// refusedWordValidity is how long a server is not asked again that takes no new work or
	// has not answered.
	refusedWordValidity = 300 * time.Millisecond
)

// serverCheck decides whether what this instance knows of a server is recent enough to send
// it a request: by the facts, by a response that shows that the server is not leaving or,
// while this instance cannot read the store, by a health check. A server without a health
// check gets requests then. It is safe for concurrent use.
type serverCheck struct {
	registry  *facts.Registry
	refresher FactsRefresher
	// domains reads only the domains taken out.
	domains FactsRefresher
	// maxDomainsAge is the age of the domains taken out above which they are read again.
	maxDomainsAge time.Duration
	prober        fleet.Prober
	log           *events.Logger
	words         sync.Map // fleet.Incarnation to serverWord
	// sweptAt is when old words were last removed.
	sweptAt atomic.Pointer[time.Time]
	asking  singleflight.Group
}

// refreshFacts reads the store if the facts are too old and the store answers.
func (c *serverCheck) refreshFacts(ctx context.Context) {
	if age, known := c.registry.Age(time.Now()); known && age > maxFactsAge {
		c.refresher.Refresh(ctx)
	}
}

// refreshDomains reads the domains that are taken out if that was too long ago. A server does not
// know whether its domain is one of them, so that no word of it can stand in.
func (c *serverCheck) refreshDomains(ctx context.Context) {
	if age, known := c.registry.DomainsAge(time.Now()); !known || age > c.maxDomainsAge {
		c.domains.Refresh(ctx)
	}
}

// isRecent reports whether there is evidence that the server is not leaving.
func (c *serverCheck) isRecent(server fleet.Incarnation, heardAt, now time.Time) bool {
	return c.evidenceOf(server, heardAt, now) != evidenceNone
}

// evidenceOf returns what shows at now that the server is not leaving: the facts, what the
// server has said itself, or what another instance heard from it at heardAt.
func (c *serverCheck) evidenceOf(server fleet.Incarnation, heardAt, now time.Time) evidence {
	if age, known := c.registry.Age(now); known && age <= maxFactsAge {
		return evidenceFacts
	}
	word, _ := c.word(server)
	switch {
	case word.refuses && word.askedAt.After(heardAt):
		return evidenceNone
	case word.serving != evidenceNone && now.Sub(word.askedAt) <= maxFactsAge:
		return word.serving
	case now.Sub(heardAt) <= maxFactsAge:
		return evidenceRelayed
	}
	return evidenceNone
}

// hear records that a response to a request that was written at the given time shows that
// the server is not leaving.
func (c *serverCheck) hear(server fleet.Incarnation, writtenAt time.Time) {
	if age, known := c.registry.Age(time.Now()); known && age <= maxFactsAge/2 {
		return // words are not needed soon
	}
	if word, known := c.word(server); !known || word.askedAt.Before(writtenAt) {
		c.record(server, serverWord{askedAt: writtenAt, serving: evidenceResponse})
	}
}

// record stores a word, and once in a while removes those that no longer matter.
func (c *serverCheck) record(server fleet.Incarnation, word serverWord) {
	c.words.Store(server, word)
	now := time.Now()
	last := c.sweptAt.Load()
	if (last == nil || now.Sub(*last) > maxFactsAge) && c.sweptAt.CompareAndSwap(last, &now) {
		c.forgetOld(now)
	}
}

func (c *serverCheck) word(server fleet.Incarnation) (serverWord, bool) {
	word, known := c.words.Load(server)
	if !known {
		return serverWord{}, false
	}
	return word.(serverWord), true
}

// refresh tries to learn whether the server takes new work: from the store, and if that does
// not answer from the server. It returns whether what is known of the server is recent now.
func (c *serverCheck) refresh(ctx context.Context, server *fleet.Server) bool {
	age, _ := c.registry.Age(time.Now())
	refreshed := c.refresher.Refresh(ctx)
	if !refreshed {
		c.ask(*server)
	}
	recent := c.isRecent(server.Incarnation, time.Time{}, time.Now())
	c.log.Emit(events.FactsTooOld, "server", server.Name, "facts_ms", age.Milliseconds(), "store_read", refreshed, "usable", recent)
	return recent
}

// ask sends the server a health check, unless it has just refused one. Requests share it.
func (c *serverCheck) ask(server fleet.Server) {
	if word, known := c.word(server.Incarnation); known && time.Since(word.askedAt) < refusedWordValidity {
		return
	}
	path := c.healthPath(server.Service)
	if path == "" {
		// Its service has no health check. Without the store nobody could serve it at all.
		c.record(server.Incarnation, serverWord{askedAt: time.Now(), serving: evidenceUnchecked})
		return
	}
	_, _, _ = c.asking.Do(server.Incarnation.String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
		defer cancel()
		word := serverWord{askedAt: time.Now()}
		health, err := c.prober.Health(ctx, server, path)
		answered := err == nil && health.Server == server.Name
		if answered && health.Serving {
			word.serving = evidenceHealthCheck
		}
		word.refuses = answered && !health.Serving
		c.record(server.Incarnation, word)
		return nil, nil // without an answer the server gets no request
	})
}

func (c *serverCheck) healthPath(service string) string {
	config := c.registry.Snapshot().Config
	if config == nil || config.Services[service] == nil {
		return ""
	}
	return config.Services[service].HealthPath
}

// forgetOld removes the words that no longer matter.
func (c *serverCheck) forgetOld(now time.Time) {
	c.words.Range(func(server, word any) bool {
		if now.Sub(word.(serverWord).askedAt) > maxFactsAge {
			c.words.CompareAndDelete(server, word)
		}
		return true
	})
}
