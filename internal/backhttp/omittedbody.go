package backhttp

import (
	"net/http"
	"net/textproto"
	"strconv"
)

// omitsBody reports whether a final response ends with its head, whatever length the head
// states (RFC 9112, section 6.3).
func omitsBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// statedLength returns the Content-Length of a response that omits its body, or -1 if it
// states none that counts. Status 204 never has one.
func statedLength(response *http.Response) int64 {
	if response.StatusCode == http.StatusNoContent {
		return 0
	}
	if len(response.TransferEncoding) > 0 {
		return -1
	}
	n, err := strconv.ParseUint(textproto.TrimString(response.Header.Get("Content-Length")), 10, 63)
	if err != nil {
		return -1
	}
	return int64(n)
}
