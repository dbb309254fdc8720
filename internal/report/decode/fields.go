package decode

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/report"
)

// parseFields decodes an object and keeps both values of a repeated name, which a map
// would not. Lines with a repeated name are rare, and decoding all lines token by token
// took twice as long.
func parseFields(line []byte) (map[string]any, error) {
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err == nil && fields != nil && len(fields) == countMembers(line) {
		return fields, nil
	}
	return parseTokens(line)
}

// countMembers counts the members of a valid object, including repeated names.
func countMembers(line []byte) int {
	names, depth, inText := 0, 0, false
	for n := 0; n < len(line); n++ {
		switch c := line[n]; {
		case inText && c == '\\':
			n++ // the next byte is escaped
		case c == '"':
			inText = !inText
		case inText:
		case c == '{', c == '[':
			depth++
		case c == '}', c == ']':
			depth--
		case c == ':' && depth == 1:
			names++
		}
	}
	return names
}

// parseTokens decodes an object token by token.
func parseTokens(line []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return nil, errors.New("not a JSON object")
	}
	fields := map[string]any{}
	for decoder.More() {
		if err := parseMember(decoder, fields); err != nil {
			return nil, errors.New("the JSON object is cut off or damaged")
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, errors.New("the JSON object is cut off or damaged")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("there is more after the JSON object")
	}
	return fields, nil
}

// parseMember decodes one name and its value. A repeated name gets RepeatedFieldPrefix.
func parseMember(decoder *json.Decoder, fields map[string]any) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	var value any
	if err := decoder.Decode(&value); err != nil {
		return err
	}
	name := token.(string) // the decoder accepts nothing else before a colon
	if _, repeated := fields[name]; repeated {
		name = report.RepeatedFieldPrefix + name
	}
	fields[name] = value
	return nil
}
