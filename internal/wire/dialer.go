package wire

import (
	"context"
	"net"
)

// Dialer opens connections of type *Conn for an http.Transport.
type Dialer struct {
	net.Dialer
}

// DialContext connects to address and returns a *Conn.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}
