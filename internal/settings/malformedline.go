package settings

// malformedLine is a line that is neither a section header, a setting nor a comment.
type malformedLine struct {
	number int
	text   string
}
