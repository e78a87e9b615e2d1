//go:build cgo

package signals

/*
#include <signal.h>

// ignore_hang_up runs before the Go runtime starts, which takes milliseconds and leaves an ignored
// SIGHUP ignored until New.
__attribute__((constructor)) static void ignore_hang_up(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
