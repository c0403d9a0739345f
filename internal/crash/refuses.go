package crash

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// refusalLimit bounds the wait for a machine's word that nothing listens at an address.
const refusalLimit = 100 * time.Millisecond

// Refuses reports whether the machine at an address is there and accepts no connections. It opens
// a connection and closes it again.
func Refuses(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: refusalLimit}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close() // nothing was said on it
	return false
}
