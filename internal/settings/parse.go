package settings

// Parse checks text and compiles it into a tree. A non-nil error is of type Issues and
// lists all problems. Consistency between settings is only checked if nothing else
// is wrong. fileName is used in messages only.
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
