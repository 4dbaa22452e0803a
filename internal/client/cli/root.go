// Package cli implements the command line: the commands that run the processes,
// and those that are clients of the caller and operator APIs.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/savorystair/savorystair/internal/settings/jsonfile"
)

// Exit statuses.
const (
	exitOK       = 0
	exitFailure  = 1
	exitFindings = 2
)

// Main runs the command line and returns the exit status: 2 if settings or a
// section of the configuration have findings, 1 for any other error.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, err)
	var findings *jsonfile.Error
	if errors.As(err, &findings) {
		return exitFindings
	}
	return exitFailure
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "savorystair",
		Short:         "Dispatches sub-second tasks to endpoints",
		Long:          "savorystair dispatches sub-second tasks to endpoints. A job is answered with every\nresult, or with a failure and its reason, and none of its tasks starts twice.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newEntry(),
		newAgent(),
		newLocal(),
		newMeasure(),
		newStandin(),
		newSettings(),
		newJob(),
		newConfig(),
		newZone(),
		newEndpoint(),
		newStatus(),
	)
	return root
}
