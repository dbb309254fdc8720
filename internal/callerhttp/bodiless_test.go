package callerhttp

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a head that states a body which does not follow, other than the length
// of an omitted body, and against one that states none although the caller waits for it.
func TestContentLengthOfResponseWithoutBody(t *testing.T) {
	for name, c := range map[string]struct {
		response Response
		stated   string // "" means no Content-Length
	}{
		"omitted body":                 {Response{Status: 200, BodyOmitted: true, Length: 5}, "5"},
		"omitted body, empty":          {Response{Status: 200, BodyOmitted: true}, "0"},
		"omitted body, unknown length": {Response{Status: 200, BodyOmitted: true, Length: -1}, ""},
		"not modified":                 {Response{Status: http.StatusNotModified, BodyOmitted: true, Length: 5}, "5"},
		"not modified, of our own":     {Response{Status: http.StatusNotModified}, ""},
		"no content":                   {Response{Status: http.StatusNoContent, BodyOmitted: true, Length: 5}, ""},
		"empty body":                   {Response{Status: 503}, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := string(c.response.head(false))
			_, after, found := strings.Cut(head, "Content-Length: ")
			stated, _, _ := strings.Cut(after, "\r\n")
			is.Equal(found, c.stated != "")
			is.Equal(stated, c.stated)
			is.True(!strings.Contains(head, "Transfer-Encoding"))
		})
	}
}
