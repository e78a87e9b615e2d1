package inbound

import (
	"cmp"
	"syscall"
)

// maxDescriptors bounds the descriptors that are used where no limit is known.
const maxDescriptors = 64 << 10

// Descriptors returns the number of descriptors that the process may open: the limit of the operating
// system, or a lower configured one that is not 0.
func Descriptors(configured int) int {
	limit := min(cmp.Or(configured, maxDescriptors), maxDescriptors)
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		return limit
	}
	return int(min(uint64(limit), system.Cur))
}
