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

// apiFlags holds the flags that all client commands have.
type apiFlags struct {
	address string
	json    bool
}

func (f *apiFlags) addCallerFlags(cmd *cobra.Command) {
	f.addFlags(cmd, "127.0.0.1:7001", "`ADDRESS` of the caller API")
}

func (f *apiFlags) addOperatorFlags(cmd *cobra.Command) {
	f.addFlags(cmd, "127.0.0.1:7002", "`ADDRESS` of the operator API")
}

func (f *apiFlags) addFlags(cmd *cobra.Command, address, usage string) {
	cmd.Flags().StringVar(&f.address, "address", address, usage)
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON, for programs")
}

func (f *apiFlags) callerClient() (*callerapi.Client, error) {
	client, err := callerapi.NewClient("http://" + f.address)
	if err != nil {
		return nil, fmt.Errorf("--address: %w", err)
	}
	return client, nil
}

func (f *apiFlags) operatorClient() (*operatorapi.Client, error) {
	client, err := operatorapi.NewClient("http://" + f.address)
	if err != nil {
		return nil, fmt.Errorf("--address: %w", err)
	}
	return client, nil
}

func printJSON(w io.Writer, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode JSON: %w", err)
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}

// replaceTaskNumber replaces every %d in text by n.
func replaceTaskNumber(text string, n int) string {
	return strings.ReplaceAll(text, "%d", strconv.Itoa(n))
}
