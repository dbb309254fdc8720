package entrynode

import "github.com/prometheus/client_golang/prometheus"

// hedgeCounter counts the hedges of this instance by service and result.
type hedgeCounter struct {
	*prometheus.CounterVec
}

func newHedgeCounter() hedgeCounter {
	return hedgeCounter{prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "peridotmoor", Name: "hedges_total",
		Help: "Second attempts beside slow ones, by service and result: sent, won (its response went to the caller; counted as sent too) or refused.",
	}, []string{"service", "result"})}
}

// HedgeSent counts a hedge that the holder has assigned to a server.
func (c hedgeCounter) HedgeSent(service string) { c.WithLabelValues(service, "sent").Inc() }

// HedgeWon counts a hedge whose response went to the caller.
func (c hedgeCounter) HedgeWon(service string) { c.WithLabelValues(service, "won").Inc() }

// HedgeRefused counts a hedge that was not assigned to a server.
func (c hedgeCounter) HedgeRefused(service string) { c.WithLabelValues(service, "refused").Inc() }
