package rawserver

import (
	"slices"
	"strings"
)

// MalformedLines are header lines that no response has, by what is wrong with them.
var MalformedLines = map[string]string{
	"blank before the colon":               "X-A : 1",
	"tab before the colon":                 "X-A\t: 1",
	"blank in the name":                    "X A: 1",
	"blank at the start":                   " X-A: 1",
	"tab at the start":                     "\tX-A: 1",
	"only a blank":                         " ",
	"only a tab":                           "\t",
	"length with a blank":                  "Content-Length : 1",
	"length with a blank at the start":     " Content-Length: 1",
	"chunked coding with a blank":          "Transfer-Encoding : chunked",
	"content type with a blank":            "Content-Type : 2",
	"NUL in the name":                      "X\x00A: 1",
	"NUL before the colon":                 "X-A\x00: 1",
	"control byte at the start":            "\x01X-A: 1",
	"vertical tab before the colon":        "X-A\x0b: 1",
	"form feed at the start":               "\x0cX-A: 1",
	"escape in the name":                   "X\x1bA: 1",
	"delete in the name":                   "X\x7fA: 1",
	"carriage return before the colon":     "X-A\r: 1",
	"carriage return at the start":         "\rX-A: 1",
	"line feed in the name":                "X-\nA: 1",
	"byte above ASCII":                     "X-\xc3\xa4: 1",
	"separator in the name":                "X(A): 1",
	"no name":                              ": 1",
	"no colon":                             "X-A",
	"NUL in the value":                     "X-A: \x00",
	"control byte in the value":            "X-A: 1\x01",
	"carriage return in the value":         "X-A: 1\rX-B: 2",
	"length with a carriage return at end": "Content-Length: 1\r",
}

// WithLine returns response, as it is on the wire, with the line at each place of its head,
// and behind an interim response with the line.
func WithLine(response, line string) []string {
	head, body, _ := strings.Cut(response, "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	responses := []string{"HTTP/1.1 103 Early Hints\r\nX-C: 1\r\n" + line + "\r\n\r\n" + response}
	for n := 1; n <= len(lines); n++ {
		responses = append(responses, strings.Join(slices.Insert(slices.Clone(lines), n, line), "\r\n")+"\r\n\r\n"+body)
	}
	return responses
}
