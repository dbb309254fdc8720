package report

import "time"

// DomainHistory describes how a failure domain was taken out of service and brought back.
type DomainHistory struct {
	Name string `json:"name"`
	// Changes are in chronological order. The list is empty without records of holders.
	Changes []DomainChange `json:"changes"`
	// Missing describes the records that are known to be missing; there may have been
	// further changes.
	Missing []string `json:"missing"`
}

// ExplainDomain reconstructs when a failure domain was taken out of service and brought
// back.
func ExplainDomain(j *Journal, name string) DomainHistory {
	d := DomainHistory{Name: name, Changes: domainChanges(j, name), Missing: j.Losses()}
	for n := range d.Changes {
		until := time.Time{}
		if n+1 < len(d.Changes) {
			until = d.Changes[n+1].Begin
		}
		d.Changes[n].addEffects(j, Window{From: d.Changes[n].Begin, To: until})
	}
	return d
}
