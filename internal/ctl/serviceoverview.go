package ctl

type serviceOverview struct {
	Name             string `json:"name"`
	Keyed            bool   `json:"keyed"`
	Shards           int    `json:"shards"`
	State            string `json:"state"`
	Servers          int    `json:"servers"`
	ServersInService int    `json:"servers_in"`
}
