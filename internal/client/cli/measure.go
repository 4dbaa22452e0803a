package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/savorystair/savorystair/internal/measure/workload"
)

func newMeasure() *cobra.Command {
	jsonFile := ""
	cmd := &cobra.Command{
		Use:   "measure WORKLOAD...",
		Short: "Run workloads on a local system and on a naive dispatcher, and compare",
		Long:  "Run each workload file on a local system with stand-in endpoints, and on a naive dispatcher that\nsends every task to a random endpoint, and print both.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var reports []workload.Report
			for _, file := range args {
				w, err := workload.Load(file)
				if err != nil {
					return err
				}
				results, err := workload.Run(cmd.Context(), w)
				if err != nil {
					return err
				}
				reports = append(reports, results...)
			}
			if jsonFile != "" {
				if err := writeReports(jsonFile, reports); err != nil {
					return err
				}
			}
			return workload.Print(cmd.OutOrStdout(), reports)
		},
	}
	cmd.Flags().StringVar(&jsonFile, "json", "", "also write the reports to a `FILE`, in JSON")
	return cmd
}

func writeReports(file string, reports []workload.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("--json: %w", err)
	}
	defer f.Close()
	return printJSON(f, reports)
}
