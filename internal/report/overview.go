package report

import (
	"slices"

	"peridotmoor.org/peridotmoor/internal/events"
)

// Overview is all that the page for a board shows.
type Overview struct {
	Summary        Summary         `json:"summary"`
	Unanswered     Unanswered      `json:"unanswered"`
	Timeline       Timeline        `json:"timeline"`
	ShardHistories []ShardHistory  `json:"lanes"`
	Domains        []DomainHistory `json:"domains"`
}

// NewOverview collects the page for the requests that arrived in the window.
func NewOverview(j *Journal, w Window) Overview {
	return Overview{
		Summary:        Summarize(j, w),
		Unanswered:     FindUnanswered(j, w),
		Timeline:       newTimeline(j.Histories(w)),
		ShardHistories: newShardHistories(j),
		Domains:        changedDomains(j),
	}
}

// changedDomains explains each failure domain of which a server was taken out or back.
func changedDomains(j *Journal) []DomainHistory {
	var names []string
	for _, r := range j.Records {
		if r.Event == events.ServerStateChanged.Number && r.Text(fieldServerDomain) != "" {
			names = append(names, r.Text(fieldServerDomain))
		}
	}
	slices.Sort(names)
	var domains []DomainHistory
	for _, name := range slices.Compact(names) {
		domains = append(domains, ExplainDomain(j, name))
	}
	return domains
}
