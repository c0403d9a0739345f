package handover

import (
	"net"

	"golang.org/x/sys/unix"
)

// KeepAlive returns the socket's SO_KEEPALIVE option.
func KeepAlive(response *Response) int {
	raw, err := response.conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		panic(err)
	}
	setting := 0
	if err := raw.Control(func(fd uintptr) {
		setting, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
	}); err != nil {
		panic(err)
	}
	return setting
}
