package programs

import (
	"net"

	"github.com/pkg/errors"
)

// freePorts returns count loopback addresses whose ports are free. They are
// all held until the last is found, so that they differ.
func freePorts(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
