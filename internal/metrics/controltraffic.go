package metrics

import "github.com/prometheus/client_golang/prometheus"

// ControlTraffic counts the control messages and bytes of an instance. The budget is
// 6 KB/s per instance.
type ControlTraffic struct {
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
}

func newControl(r prometheus.Registerer) *ControlTraffic {
	m := &ControlTraffic{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "control_messages_total",
			Help: "Control messages by message and direction (sent, received).",
		}, []string{"message", "direction"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "control_bytes_total",
			Help: "Encoded bytes of control messages by message and direction (sent, received).",
		}, []string{"message", "direction"}),
	}
	r.MustRegister(m.messages, m.bytes)
	return m
}

// Sent counts one message of size bytes that the instance sent.
func (m *ControlTraffic) Sent(message string, size int) {
	m.count(message, "sent", size)
}

// Received counts one message of size bytes that the instance received.
func (m *ControlTraffic) Received(message string, size int) {
	m.count(message, "received", size)
}

func (m *ControlTraffic) count(message, direction string, size int) {
	m.messages.WithLabelValues(message, direction).Inc()
	m.bytes.WithLabelValues(message, direction).Add(float64(size))
}
