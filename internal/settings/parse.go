package settings

// Parse checks text as a whole and compiles it. The error is Issues with every
// fault found. fileName only appears in messages.
func Parse(text, fileName string) (*Tree, error) {
	doc := readDocument(text, fileName)
	doc.checkValues()
	doc.checkReferences()
	if len(doc.issues) == 0 {
		doc.checkConsistency()
	}
	if err := doc.issues.errorOrNil(); err != nil {
		return nil, err
	}
	return build(doc, text), nil
}
