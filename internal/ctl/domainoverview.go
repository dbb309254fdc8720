package ctl

type domainOverview struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  string `json:"state"`
}
