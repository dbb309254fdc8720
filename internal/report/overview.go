package report

import (
	"slices"

	"peridotmoor.org/peridotmoor/internal/events"
)

// Overview holds the data of the HTML report.
type Overview struct {
	Summary        Summary         `json:"summary"`
	Unanswered     Unanswered      `json:"unanswered"`
	Timeline       Timeline        `json:"timeline"`
	ShardHistories []ShardHistory  `json:"lanes"`
	Domains        []DomainHistory `json:"domains"`
}

// NewOverview collects the data of the HTML report for the requests that arrived in the
// window.
func NewOverview(j *Journal, w Window) Overview {
	return Overview{
		Summary:        Summarize(j, w),
		Unanswered:     FindUnanswered(j, w),
		Timeline:       newTimeline(j.Histories(w)),
		ShardHistories: newShardHistories(j),
		Domains:        changedDomains(j),
	}
}

// changedDomains returns the history of each failure domain that had a server taken out of
// service or brought back.
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
