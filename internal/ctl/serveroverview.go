package ctl

type serverOverview struct {
	Name           string `json:"name"`
	Service        string `json:"service"`
	Domain         string `json:"failure_domain"`
	Shard          int    `json:"shard"`
	State          string `json:"state"`
	OutOfServiceBy string `json:"out_by,omitempty"`
}
