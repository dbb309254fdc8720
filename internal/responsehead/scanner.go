// Package responsehead checks the heads of HTTP/1.1 responses while they arrive. net/http
// accepts spaces in the name of a header field and joins a line that starts with a blank to
// the one before it, so that a field of a malformed response can be taken for another one or
// be overlooked, also one that delimits the body.
package responsehead

import "golang.org/x/net/http/httpguts"

// Scanner checks the bytes of a connection from the start of a response to the end of its
// head, including the interim responses before it. The zero value is at that start. It finds
// the end of a head where net/http does.
type Scanner struct {
	position position
	// interim is set if the head is that of an interim response, which another head follows.
	interim bool
}

// Scan checks the next bytes of the connection. Bytes behind the head are ignored. It returns
// a *FieldNameError if a line of the head does not start with the name of a field and a colon,
// and how many bytes come before that error.
func (s *Scanner) Scan(read []byte) (int, error) {
	for n, b := range read {
		if s.position == done {
			break
		}
		if !s.next(b) {
			return n, &FieldNameError{Byte: b}
		}
	}
	return len(read), nil
}

// next moves on behind the byte b. It reports whether b may be there.
func (s *Scanner) next(b byte) bool {
	switch s.position {
	case atLineStart:
		return s.startLine(b)
	case inName:
		if b == ':' {
			s.position = inLine
			return true
		}
		return isNameByte(b)
	case inLastLine:
		if b != '\n' {
			return false
		}
		s.endHead()
		return true
	}
	switch { // in the status line, or behind the name of a field
	case b == '\n':
		s.position = atLineStart
	case s.position == inVersion && b == ' ':
		s.position = atStatus
	case s.position == atStatus && b != ' ':
		s.interim, s.position = b == '1', inLine
	}
	return true
}

// startLine moves on behind the first byte of a line. It reports whether b may be there.
func (s *Scanner) startLine(b byte) bool {
	switch {
	case b == '\n':
		s.endHead()
	case b == '\r':
		s.position = inLastLine
	case isNameByte(b):
		s.position = inName
	default:
		return false
	}
	return true
}

func (s *Scanner) endHead() {
	if s.interim {
		*s = Scanner{}
	} else {
		s.position = done
	}
}

// isNameByte reports whether the name of a field may have the byte b (RFC 9110, section 5.1).
func isNameByte(b byte) bool {
	return httpguts.IsTokenRune(rune(b))
}
