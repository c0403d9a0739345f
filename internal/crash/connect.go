package crash

import (
	"context"
	"net"
	"time"
)

// connectTimeout bounds a connection attempt, since calls wait for it.
const connectTimeout = 100 * time.Millisecond

// Connect connects to an address and closes the connection again.
func Connect(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: connectTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return connection.Close()
}
