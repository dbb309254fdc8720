package backhttp

import (
	"context"
	"io"
	"net"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
	"peridotmoor.org/peridotmoor/internal/responsehead"
)

// headSource reads from a connection. While a head is read it checks it, limits what is taken
// for it, and takes memory for a head that is not small.
type headSource struct {
	net net.Conn
	// holding is that of the request whose response is read.
	holding *membudget.Holding
	// ctx ends when the connection is closed.
	ctx context.Context
	// inHead is set while a head is read, of which read bytes have been taken.
	inHead bool
	read   int64
	// scanner checks the head.
	scanner responsehead.Scanner
	// reserved is how much memory is taken for the head.
	reserved int64
}

// begin starts the check and the count of the next head, with the interim responses before
// it, which belongs to holding. buffered has been read of it, and is not counted.
func (s *headSource) begin(holding *membudget.Holding, buffered []byte) error {
	s.inHead, s.read, s.holding = true, 0, holding
	s.scanner = responsehead.Scanner{}
	_, err := s.scanner.Scan(buffered)
	return err
}

// end ends the limit on the head and returns how much memory it has taken, which the
// caller has to return.
func (s *headSource) end() int64 {
	reserved := s.reserved
	s.inHead, s.reserved = false, 0
	return reserved
}

// exceeded reports whether the head was too long.
func (s *headSource) exceeded() bool {
	return s.inHead && s.read >= maxHeadBytes
}

// Read implements io.Reader. It returns io.EOF at the limit, and no bytes from where a head is
// malformed.
func (s *headSource) Read(p []byte) (int, error) {
	if !s.inHead {
		return s.net.Read(p)
	}
	if s.exceeded() {
		return 0, io.EOF
	}
	limit := int64(maxHeadBytes)
	if s.reserved == 0 {
		if s.read >= smallHeadBytes {
			if err := s.holding.Await(s.ctx, membudget.ResponseHeads, headCostBytes); err != nil {
				return 0, errors.Wrap(err, "wait for memory for a long head")
			}
			s.reserved = headCostBytes
		} else {
			limit = smallHeadBytes
		}
	}
	n, err := s.net.Read(p[:min(int64(len(p)), limit-s.read)])
	s.read += int64(n)
	if _, malformed := s.scanner.Scan(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}
