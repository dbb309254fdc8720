package keyowners

import (
	"fmt"
	"strings"
	"time"
)

// line holds the fields of a log line that this package uses.
type line struct {
	Event    int       `json:"event"`
	Name     string    `json:"name"`
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Epoch    int64     `json:"epoch"`

	Grants       []grantLine `json:"grants"`
	DroppedCount int64       `json:"count"`

	Reason        string   `json:"reason"`
	Detail        string   `json:"detail"`
	SendsOrders   *bool    `json:"sends_orders"`
	UnconfirmedMS int64    `json:"unconfirmed_ms"`
	OutageMS      int64    `json:"outage_ms"`
	GrantsUntilMS int64    `json:"grants_until_ms"`
	EndsInMS      int64    `json:"ends_in_ms"`
	WrittenMS     int64    `json:"written_ms"`
	Counted       []string `json:"counted"`

	// Service, From, To and Server are those of a single order.
	Service string `json:"service"`
	From    int    `json:"from"`
	To      int    `json:"to"`
	Server  string `json:"server"`
}

// detail puts the fields of an event of a tenure into words.
func (l line) detail() string {
	var parts []string
	add := func(name string, ms int64) {
		if ms != 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", name, ms))
		}
	}
	if l.Reason != "" {
		parts = append(parts, "reason="+l.Reason)
	}
	if l.Server != "" {
		parts = append(parts, "server="+l.Server)
	}
	add("unconfirmed_ms", l.UnconfirmedMS)
	add("outage_ms", l.OutageMS)
	add("grants_until_ms", l.GrantsUntilMS)
	add("ends_in_ms", l.EndsInMS)
	add("written_ms", l.WrittenMS)
	if l.SendsOrders != nil {
		parts = append(parts, fmt.Sprintf("sends_orders=%t", *l.SendsOrders))
	}
	if len(l.Counted) > 0 {
		parts = append(parts, "counted="+strings.Join(l.Counted, ","))
	}
	if l.Detail != "" {
		parts = append(parts, l.Detail)
	}
	return strings.Join(parts, " ")
}
