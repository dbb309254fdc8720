package metrics

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"peridotmoor.org/peridotmoor/internal/store"
)

// StoreCalls counts calls to the platform's store. A watch counts as one call, however
// long it waits.
type StoreCalls struct {
	calls *prometheus.CounterVec
}

func newStoreCalls(r prometheus.Registerer) *StoreCalls {
	m := &StoreCalls{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "store_calls_total",
		Help: "Calls of the platform's store by call and result.",
	}, []string{"call", "result"})}
	r.MustRegister(m.calls)
	return m
}

func (m *StoreCalls) count(call string, err error) {
	m.calls.WithLabelValues(call, resultOf(err)).Inc()
}

func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, store.ErrNotFound):
		return "not_found"
	case errors.Is(err, store.ErrConflict):
		return "conflict"
	case errors.Is(err, store.ErrUncertain):
		return "uncertain"
	default:
		return "unavailable"
	}
}
