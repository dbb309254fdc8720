package assign

// encodedRange is the stored form of a range: the start in hexadecimal, and the
// one-based indexes of the owner, the first and the second standby. Index 0
// stands for no server.
type encodedRange struct {
	Start   string `json:"s"`
	Servers [3]int `json:"o"`
}
