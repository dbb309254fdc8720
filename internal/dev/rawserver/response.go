package rawserver

import (
	"fmt"
	"strings"
)

// Response is what a server sends on one connection: Start, then Unit again and again.
// With an empty Unit the server falls silent after Start.
type Response struct {
	Name, Start, Unit string
	// Long is set if Start or Unit yields more of the body than a client may be expected
	// to buffer.
	Long bool
}

// Endless returns responses without end that have the given status and header lines.
// otherID is a header line by which a response belongs to another request.
func Endless(status int, otherID string, header ...string) []Response {
	head := fmt.Sprintf("HTTP/1.1 %d Text\r\n", status) + lines(header)
	other := "HTTP/1.1 200 OK\r\n" + lines([]string{otherID})
	body := strings.Repeat("x", 2<<20)
	chunk := "200\r\n" + body[:0x200] + "\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	longChunked := chunked + strings.Repeat(chunk, len(body)/0x200)
	return []Response{
		{"status line", "HTTP/1.1 200 ", "O", false},
		{"header line", head + "X-A: ", "a", false},
		{"header lines", head, "X-A: a\r\n", false},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", false},
		{"responses to other requests", "", other + "Content-Length: 1\r\n\r\nx", false},
		{"a response to another request", other + "Content-Length: 1099511627776\r\n\r\n", "x", false},
		{"with a length, fast", head + "Content-Length: 1099511627776\r\n\r\n", "x", true},
		{"with a length, silent", head + "Content-Length: 1099511627776\r\n\r\n" + body, "", true},
		{"delimited by a close, fast", head + "\r\n", "x", true},
		{"delimited by a close, silent", head + "\r\n" + body, "", true},
		{"in chunks, fast", chunked, chunk, true},
		{"in chunks, silent", longChunked, "", true},
		{"chunk extension", chunked + "1;", "x", false},
		{"chunk extension in a long body", longChunked + "1;", "x", true},
		{"trailer", chunked + "0\r\n", "X-A: b\r\n", false},
		{"trailer of a long body", longChunked + "0\r\n", "X-A: b\r\n", true},
	}
}

func lines(header []string) string {
	return strings.Join(append(header, ""), "\r\n")
}
