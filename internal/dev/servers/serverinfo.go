package servers

// ServerInfo is one server in the response to GET /dev/servers.
type ServerInfo struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}
