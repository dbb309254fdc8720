package shardrecord

// wireMember is the stored JSON form of a member of a witness set.
type wireMember struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Domain      string `json:"domain"`
}
