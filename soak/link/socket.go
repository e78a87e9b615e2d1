package link

import "golang.org/x/sys/unix"

// socketError reports whether a socket has a pending error, such as a reset.
func socketError(fd int) bool {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	return err != nil || code != 0
}
