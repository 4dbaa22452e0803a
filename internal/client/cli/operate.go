package cli

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/savorystair/savorystair/internal/gen/operatorapi"
)

func newZone() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "zone",
		Short: "Take availability zones out of service and back in",
	}
	cmd.AddCommand(
		newSwitch("out ZONE", "Take an availability zone out of service: no task starts there after a few seconds", zoneSwitch(true)),
		newSwitch("in ZONE", "Put an availability zone back in service", zoneSwitch(false)),
		newZoneStatus(),
	)
	return cmd
}

func newEndpoint() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "endpoint",
		Short: "List and drain endpoints",
	}
	cmd.AddCommand(
		newEndpointList(),
		newSwitch("drain ID", "Give an endpoint no new work", endpointSwitch(true)),
		newSwitch("resume ID", "Give a drained endpoint work again", endpointSwitch(false)),
	)
	return cmd
}

// switchEdit is the call of the operator API that takes the named zone or
// endpoint out of service or back in.
type switchEdit func(cmd *cobra.Command, client *operatorapi.Client, name, author string) (*operatorapi.Section, error)

func zoneSwitch(out bool) switchEdit {
	return func(cmd *cobra.Command, client *operatorapi.Client, name, author string) (*operatorapi.Section, error) {
		return client.SetZone(cmd.Context(), &operatorapi.Switch{Out: out, Author: author}, operatorapi.SetZoneParams{Zone: name})
	}
}

func endpointSwitch(out bool) switchEdit {
	return func(cmd *cobra.Command, client *operatorapi.Client, name, author string) (*operatorapi.Section, error) {
		return client.SetEndpoint(cmd.Context(), &operatorapi.Switch{Out: out, Author: author}, operatorapi.SetEndpointParams{Endpoint: name})
	}
}

// newSwitch returns a command that makes the edit for the zone or endpoint that
// its argument names.
func newSwitch(use, short string, edit switchEdit) *cobra.Command {
	var api apiFlags
	author := ""
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := api.operatorClient()
			if err != nil {
				return err
			}
			accepted, err := edit(cmd, client, args[0], author)
			if err != nil {
				return formatOperatorError(err)
			}
			return printAccepted(cmd.OutOrStdout(), accepted, api.json)
		},
	}
	api.addOperatorFlags(cmd)
	addAuthorFlag(cmd, &author)
	return cmd
}

func newZoneStatus() *cobra.Command {
	var api apiFlags
	cmd := &cobra.Command{
		Use:   "status",
		Short: "List the availability zones",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := api.operatorClient()
			if err != nil {
				return err
			}
			zones, err := client.ListZones(cmd.Context())
			if err != nil {
				return formatOperatorError(err)
			}
			if api.json {
				return printJSON(cmd.OutOrStdout(), zones)
			}
			w := newTableWriter(cmd)
			fmt.Fprintln(w, "ZONE\tSERVICE\tENDPOINTS")
			for _, z := range zones {
				fmt.Fprintf(w, "%s\t%s\t%d\n", z.Zone, serviceState(z.Out), z.Endpoints)
			}
			return w.Flush()
		},
	}
	api.addOperatorFlags(cmd)
	return cmd
}

func newEndpointList() *cobra.Command {
	var api apiFlags
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the endpoints that the entry knows",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := api.operatorClient()
			if err != nil {
				return err
			}
			endpoints, err := client.ListEndpoints(cmd.Context())
			if err != nil {
				return formatOperatorError(err)
			}
			if api.json {
				return printJSON(cmd.OutOrStdout(), endpoints)
			}
			w := newTableWriter(cmd)
			fmt.Fprintln(w, "ID\tZONE\tSERVICE\tSLOTS\tRUNNING\tQUEUED\tLINK\tSTATE")
			for _, e := range endpoints {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%t\t%s\n",
					e.ID, e.Zone, e.Service, e.Slots, e.Running, e.Queued, e.Link, serviceState(e.Out))
			}
			return w.Flush()
		},
	}
	api.addOperatorFlags(cmd)
	return cmd
}

func newStatus() *cobra.Command {
	var api apiFlags
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print the configuration version in force at each process",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := api.operatorClient()
			if err != nil {
				return err
			}
			status, err := client.GetStatus(cmd.Context())
			if err != nil {
				return formatOperatorError(err)
			}
			if api.json {
				return printJSON(cmd.OutOrStdout(), status)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "document version %d, table service reachable: %t\n", status.Version, status.TableReachable)
			w := newTableWriter(cmd)
			fmt.Fprintln(w, "ROLE\tID\tZONE\tVERSION\tPROBLEM")
			for _, p := range status.Processes {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", p.Role, p.ID, p.Zone, p.Version, p.Problem.Value)
			}
			return w.Flush()
		},
	}
	api.addOperatorFlags(cmd)
	return cmd
}

func newTableWriter(cmd *cobra.Command) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, padding, ' ', 0)
}

// serviceState returns the printed state of a zone or endpoint that is out of
// service or in service.
func serviceState(out bool) string {
	if out {
		return "out"
	}
	return "in"
}
