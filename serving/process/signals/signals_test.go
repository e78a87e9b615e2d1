package signals_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/signals"
)

// childVariable selects the child process's behaviour.
const childVariable = "SIGNALS_TEST_CHILD"

func TestMain(m *testing.M) {
	switch os.Getenv(childVariable) {
	case "":
		os.Exit(m.Run())
	case "daemon":
		os.Exit(child(signals.New()))
	case "tool":
		os.Exit(child(signals.New().StopOnHangUp()))
	}
}

// child prints each reload and the request to stop, then works on for a while and exits.
func child(received *signals.Signals) int {
	fmt.Println("started")
	for {
		select {
		case <-received.HangUps():
			fmt.Println("reload")
			continue
		case <-received.Context().Done():
		}
		fmt.Println("stop")
		time.Sleep(300 * time.Millisecond)
		return 0
	}
}

// TestSignals guards against signals that are missed, and against signals that end the process
// while it stops.
func TestSignals(t *testing.T) {
	for name, test := range map[string]struct {
		child   string
		signals []syscall.Signal
		lines   []string
	}{
		"stop":                 {"daemon", []syscall.Signal{syscall.SIGTERM}, []string{"stop"}},
		"interrupt":            {"daemon", []syscall.Signal{syscall.SIGINT}, []string{"stop"}},
		"quit":                 {"daemon", []syscall.Signal{syscall.SIGQUIT}, []string{"stop"}},
		"reload and stop":      {"daemon", []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM}, []string{"reload", "reload", "stop"}},
		"without an action":    {"daemon", []syscall.Signal{syscall.SIGPIPE, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGINT}, []string{"stop"}},
		"hang-up stops a tool": {"tool", []syscall.Signal{syscall.SIGHUP}, []string{"stop"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), childVariable+"="+test.child)
			out, err := cmd.StdoutPipe()
			require.NoError(t, err)
			require.NoError(t, cmd.Start())
			lines := bufio.NewScanner(out)
			require.True(t, lines.Scan())
			var printed []string
			for i, sent := range test.signals {
				require.NoError(t, cmd.Process.Signal(sent))
				if sent == syscall.SIGHUP || i == len(test.signals)-1 {
					require.True(t, lines.Scan())
					printed = append(printed, lines.Text())
				}
			}
			require.Equal(t, test.lines, printed)
			for _, sent := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGQUIT, syscall.SIGPIPE, syscall.SIGTERM} {
				require.NoError(t, cmd.Process.Signal(sent))
			}
			require.NoError(t, cmd.Wait(), "a signal ended the process while it stopped")
		})
	}
}
