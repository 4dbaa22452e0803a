package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/gen/operatorapi"
)

// apiFlags are the flags of every client command.
type apiFlags struct {
	address string
	json    bool
}

func (f *apiFlags) callerFlags(cmd *cobra.Command) {
	f.flags(cmd, "127.0.0.1:7001", "`ADDRESS` of the caller API")
}

func (f *apiFlags) operatorFlags(cmd *cobra.Command) {
	f.flags(cmd, "127.0.0.1:7002", "`ADDRESS` of the operator API")
}

func (f *apiFlags) flags(cmd *cobra.Command, address, usage string) {
	cmd.Flags().StringVar(&f.address, "address", address, usage)
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON, for programs")
}

func (f *apiFlags) caller() (*callerapi.Client, error) {
	client, err := callerapi.NewClient("http://" + f.address)
	if err != nil {
		return nil, fmt.Errorf("--address: %w", err)
	}
	return client, nil
}

func (f *apiFlags) operator() (*operatorapi.Client, error) {
	client, err := operatorapi.NewClient("http://" + f.address)
	if err != nil {
		return nil, fmt.Errorf("--address: %w", err)
	}
	return client, nil
}

func printJSON(w io.Writer, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}

// expand replaces %d by a number.
func expand(text string, n int) string {
	return strings.ReplaceAll(text, "%d", strconv.Itoa(n))
}
