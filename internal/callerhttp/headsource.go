package callerhttp

import (
	"bytes"
	"io"
	"net"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// headSource reads from a connection. While the head of a request is read it limits what is
// taken for it, and takes memory for a head that is not small.
type headSource struct {
	net     net.Conn
	holding *membudget.Holding
	// remaining is how much of a head may still be read, or noHeaderLimit outside of heads.
	remaining int64
	// read is how much has been read for the head, and taken the memory for it.
	read, taken int64
	// lines is how many lines of the head have been read.
	lines int
	// short is set if there was no memory for the head.
	short bool
}

// noHeaderLimit lifts the limit on header bytes while a body is read.
const noHeaderLimit = 1 << 62

// begin starts a head of at most limit bytes, of which buffered has been read already, perhaps
// with what follows it.
func (s *headSource) begin(limit int, buffered []byte) {
	s.remaining, s.read, s.lines = int64(limit), 0, 0
	head, _, _ := bytes.Cut(buffered, []byte("\r\n\r\n"))
	s.short = !s.takeFields(bytes.Count(head, []byte{'\n'}))
}

// end ends the limit on the head and returns how much memory was taken for it, which the
// caller has to return.
func (s *headSource) end() int64 {
	taken := s.taken
	s.remaining, s.taken = noHeaderLimit, 0
	return taken
}

// takeFields takes the memory for n more lines and reports whether it got it.
func (s *headSource) takeFields(n int) bool {
	before := max(s.lines, smallHeadFields)
	s.lines += n
	cost := int64(s.lines-before) * fieldCost
	if cost <= 0 {
		return true
	}
	if !s.holding.Take(membudget.Requests, cost) {
		return false
	}
	s.taken += cost
	return true
}

// Read implements io.Reader. It returns io.EOF at the limit.
func (s *headSource) Read(p []byte) (int, error) {
	if s.remaining == noHeaderLimit {
		return s.net.Read(p)
	}
	if s.remaining <= 0 {
		return 0, io.EOF
	}
	if s.read >= smallHeadBytes {
		cost := int64(len(p)) * headCost
		if !s.holding.Take(membudget.Requests, cost) {
			s.short = true
			return 0, errNoMemory
		}
		s.taken += cost
	}
	n, err := s.net.Read(p[:min(int64(len(p)), s.remaining)])
	s.remaining -= int64(n)
	s.read += int64(n)
	if !s.takeFields(bytes.Count(p[:n], []byte{'\n'})) {
		s.short = true
		return 0, errNoMemory
	}
	return n, err
}
