// Command savorystair dispatches sub-second tasks to endpoints.
package main

import (
	"os"

	"github.com/savorystair/savorystair/internal/client/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
