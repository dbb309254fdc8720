package responsehead

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// wellFormed has responses, each with what may follow its head.
var wellFormed = []string{
	"HTTP/1.1 200 OK\r\n\r\n : \x00",
	"HTTP/1.1 200 OK\n\n : \x00",
	"HTTP/1.1 200 OK\r\nContent-Length:5\r\nX-A: \tb : c \x80\r\nX-B:\r\n\r\n A\r\n B",
	"HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz: 1\r\n\r\n\t",
	"HTTP/1.0  500  1 \r\nX-A: 1\r\n\r\n\r\r",
}

// malformed has responses with the byte that makes them so.
var malformed = map[string]byte{
	"HTTP/1.1 200 OK\r\n X-A: 1\r\n\r\n":                                   ' ',
	"HTTP/1.1 200 OK\r\nX-A: 1\r\n\tb\r\n\r\n":                             '\t',
	"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n":                        ' ',
	"HTTP/1.1 200 OK\r\nX\x00A: 1\r\n\r\n":                                 0,
	"HTTP/1.1 200 OK\r\n: 1\r\n\r\n":                                       ':',
	"HTTP/1.1 200 OK\r\nX-A\r\n\r\n":                                       '\r',
	"HTTP/1.1 200 OK\r\n\rX-A: 1\r\n\r\n":                                  'X',
	"HTTP/1.1 200 OK\r\nX-\xe4: 1\r\n\r\n":                                 0xe4,
	"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX A: 1\r\n\r\n":    ' ',
	"HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":    ' ',
	"HTTP/1.1 200 OK\r\nX-A: 1\r\n \r\nContent-Length: 5\r\n\r\nfive.":     ' ',
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n Content-Length: 5\r\n\r\n12": ' ',
}

// Guards against a response that is refused because of its body or of unusual but valid
// bytes, and against a malformed line that is overlooked where the bytes arrive in pieces.
func TestScanner(t *testing.T) {
	for size := 1; size < 100; size++ {
		is := is.New(t)
		scan := func(text string) error {
			var s Scanner
			for piece := range slices.Chunk([]byte(text), size) {
				n, err := s.Scan(piece)
				if err != nil {
					is.Equal(piece[n], err.(*FieldNameError).Byte)
					return err
				}
				is.Equal(n, len(piece))
			}
			return nil
		}
		for _, text := range wellFormed {
			is.NoErr(scan(text))
		}
		for text, b := range malformed {
			var nameError *FieldNameError
			is.True(errors.As(scan(text), &nameError))
			is.Equal(nameError.Byte, b)
		}
	}
}

// FuzzScanner guards against a scanner that finds the end of a head elsewhere than net/http,
// and so takes the body for lines of the head or the reverse, and against a name that it lets pass.
func FuzzScanner(f *testing.F) {
	for _, text := range wellFormed {
		f.Add([]byte(text))
	}
	for text := range malformed {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		source := bytes.NewReader(sent)
		reader := bufio.NewReader(source)
		var response *http.Response
		for response == nil || response.StatusCode/100 == 1 {
			var err error
			if response, err = http.ReadResponse(reader, nil); err != nil {
				return
			}
		}
		head := sent[:len(sent)-source.Len()-reader.Buffered()]
		var s Scanner
		if _, err := s.Scan(head); err != nil {
			return
		}
		if s.position != done {
			t.Errorf("the end of the head %q is overlooked", head)
		}
		for name := range response.Header {
			if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == ':' }) {
				t.Errorf("the name %q passes", name)
			}
		}
	})
}
