package assign

// encodedRange holds the start in hexadecimal and one-based indexes of owner,
// first and second standby; 0 stands for none.
type encodedRange struct {
	Start   string `json:"s"`
	Servers [3]int `json:"o"`
}
