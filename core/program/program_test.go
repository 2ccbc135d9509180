package program

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// helperVariable makes the test binary run Main instead of the tests.
const helperVariable = "IBISFOLD_PROGRAM_TEST"

func TestMain(m *testing.M) {
	if os.Getenv(helperVariable) == "" {
		os.Exit(m.Run())
	}
	flag.CommandLine = flag.NewFlagSet(os.Args[0], flag.ExitOnError)
	Main(Process{
		Name: "test",
		RunOpaque: func(term context.Context, _ string) error {
			fmt.Println("running")
			<-term.Done()

			return nil
		},
	})
}

// Guards against a process that new settings end: SIGHUP announces them, and it may come before the
// process watches its settings, or after it has ceased to.
func TestHangupBeforeSettingsAreWatched(t *testing.T) {
	is := is.New(t)
	c := exec.Command(os.Args[0], "-platform")
	c.Env = append(os.Environ(), helperVariable+"=1")
	out, err := c.StdoutPipe()
	is.NoErr(err)
	is.NoErr(c.Start())
	_, err = bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	is.NoErr(c.Process.Signal(syscall.SIGHUP))
	is.NoErr(c.Process.Signal(syscall.SIGTERM))
	is.NoErr(c.Wait())
}
