package report

import "time"

// DomainHistory tells how a failure domain was taken out and brought back.
type DomainHistory struct {
	Name string `json:"name"`
	// Changes are in the order of time. Without records of holders it is empty.
	Changes []DomainChange `json:"changes"`
	// Missing says which records are known to be missing; more may have happened.
	Missing []string `json:"missing"`
}

// ExplainDomain tells the departures and returns of a failure domain.
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
