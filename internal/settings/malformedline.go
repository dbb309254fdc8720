package settings

type malformedLine struct {
	number int
	text   string
}
