package crash

import (
	"context"
	"net"
	"time"
)

// connectLimit bounds the wait for a connection: calls wait for it.
const connectLimit = 100 * time.Millisecond

// Connect connects to an address and closes the connection again.
func Connect(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: connectLimit}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return connection.Close()
}
