package cli

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	agenthost "github.com/savorystair/savorystair/internal/agent/host"
	entryhost "github.com/savorystair/savorystair/internal/entry/host"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/standin/endpoint"
	"github.com/savorystair/savorystair/internal/standin/local"
	"github.com/savorystair/savorystair/internal/standin/table"
	"github.com/savorystair/savorystair/internal/telemetry/logfmt"
	"github.com/savorystair/savorystair/internal/transport/h2c"
	"github.com/savorystair/savorystair/platform"
)

// host is a process that can be stopped as planned.
type host interface {
	// Stop waits until nothing is in flight, or until ctx ends.
	Stop(ctx context.Context) error
	// Close ends what is left.
	Close()
}

// serve runs a host until the command's context ends, then stops it. SIGHUP
// reads the settings again.
func serve(ctx context.Context, h host, timeout time.Duration, reload func()) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for ctx.Err() == nil {
		select {
		case <-hangup:
			reload()
		case <-ctx.Done():
		}
	}
	defer h.Close()
	stopCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return h.Stop(stopCtx)
}

// logReload tells what became of settings that were read again. Those with
// findings change nothing.
func logReload(log *zap.Logger, file string, err error) {
	if err != nil {
		log.Error("settings not reloaded", zap.String("file", file), zap.Error(err))
		return
	}
	log.Info("settings reloaded", zap.String("file", file))
}

func newEntry() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "entry --settings FILE",
		Short: "Run an entry, which takes jobs of callers and edits of operators",
		Long:  "Run an entry. It takes jobs of callers and edits of operators, and hands tasks to agents.\nOn SIGTERM it takes no new jobs, answers those it has, and ends.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := process.LoadEntry(file)
			if err != nil {
				return err
			}
			lines := logfmt.NewQueue(cmd.OutOrStdout())
			defer lines.Close()
			log := logfmt.New(lines, s.LogLevel.Zap(), "entry", s.ID)
			var o entryhost.Options
			if s.Adapter != nil {
				o = platform.EntryOptions(s)
			}
			e, err := entryhost.Start(s, log, o)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), e, s.StopTimeout(), func() {
				next, err := process.LoadEntry(file)
				logReload(log, file, err)
				if err == nil {
					e.Reload(next)
				}
			})
		},
	}
	settingsFlag(cmd, &file)
	return cmd
}

func newAgent() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "agent --settings FILE",
		Short: "Run an agent beside an endpoint",
		Long:  "Run an agent. The endpoint on its host announces itself to it, and it hands the endpoint tasks\nwithin its slots. On SIGTERM it takes no new tasks, lets running ones end, and ends.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := process.LoadAgent(file)
			if err != nil {
				return err
			}
			lines := logfmt.NewQueue(cmd.OutOrStdout())
			defer lines.Close()
			log := logfmt.New(lines, s.LogLevel.Zap(), "agent", s.ID)
			var o agenthost.Options
			if s.Adapter != nil {
				o = platform.AgentOptions(s, log)
			}
			a, err := agenthost.Start(s, log, o)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), a, s.StopTimeout(), func() {
				next, err := process.LoadAgent(file)
				logReload(log, file, err)
				if err == nil {
					a.Reload(next)
				}
			})
		},
	}
	settingsFlag(cmd, &file)
	return cmd
}

// settingsVariable names the environment variable that holds the settings file
// where no flag gives it.
const settingsVariable = "SAVORYSTAIR_SETTINGS"

func settingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", os.Getenv(settingsVariable), "the settings `FILE`, in JSON; without it, that of $"+settingsVariable)
}

// localStopTimeout bounds the planned stop of a local system.
const localStopTimeout = 10 * time.Second

func newLocal() *cobra.Command {
	var o local.Options
	verbose := false
	cmd := &cobra.Command{
		Use:   "local",
		Short: "Run the whole system in one process, on loopback",
		Long:  "Run an entry, agents with sample endpoints, and a stand-in for the table service in one process.\nThe endpoints serve the service \"sample\" with the kinds echo, work, fail and refuse.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			level := zapcore.WarnLevel
			if verbose {
				level = zapcore.InfoLevel
			}
			log := logfmt.New(cmd.ErrOrStderr(), level, "local", "local")
			s, err := local.Start(cmd.Context(), o, log)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "ready: callers at %s, operators at %s\n",
				s.Entries[0].CallerAddress(), s.Entries[0].OperatorAddress())
			return serve(cmd.Context(), s, localStopTimeout, func() {})
		},
	}
	cmd.Flags().StringVar(&o.CallerAddress, "caller-address", "127.0.0.1:7001", "`ADDRESS` of the caller API")
	cmd.Flags().StringVar(&o.OperatorAddress, "operator-address", "127.0.0.1:7002", "`ADDRESS` of the operator API")
	cmd.Flags().IntVar(&o.Agents, "agents", 3, "number of agents, each with an endpoint")
	cmd.Flags().IntVar(&o.Slots, "slots", 8, "slots of each endpoint")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "log every event")
	return cmd
}

func newStandin() *cobra.Command {
	cmd := &cobra.Command{
		Use:    "standin",
		Short:  "Run a stand-in for a system that savorystair talks to",
		Hidden: true,
	}
	cmd.AddCommand(newStandinTable(), newStandinEndpoint())
	return cmd
}

func newStandinTable() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "table",
		Short: "Run a stand-in for the table service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ln, err := net.Listen("tcp", address)
			if err != nil {
				return fmt.Errorf("--address: %w", err)
			}
			log := logfmt.New(cmd.ErrOrStderr(), zapcore.InfoLevel, "table", "table")
			log.Info("table service started", zap.String("address", ln.Addr().String()))
			svc := h2c.NewService(ln, table.New(table.Options{}).Handler())
			// Only the end of the command's context ends the service.
			if err := svc.Serve(cmd.Context()); cmd.Context().Err() == nil {
				return err
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:7100", "`ADDRESS` to listen on")
	return cmd
}

func newStandinEndpoint() *cobra.Command {
	var o endpoint.Options
	cmd := &cobra.Command{
		Use:   "endpoint",
		Short: "Run a sample endpoint",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			e, err := endpoint.Run(o)
			if err != nil {
				return err
			}
			log := logfmt.New(cmd.ErrOrStderr(), zapcore.InfoLevel, "endpoint", e.Address())
			log.Info("endpoint started", zap.String("address", e.Address()))
			<-cmd.Context().Done()
			e.Close()
			return nil
		},
	}
	cmd.Flags().StringVar(&o.Address, "address", "127.0.0.1:0", "`ADDRESS` to listen on")
	cmd.Flags().StringVar(&o.Agent, "agent", "", "`ADDRESS` of the agent")
	cmd.Flags().StringVar(&o.Service, "service", "sample", "the service that the endpoint runs")
	cmd.Flags().IntVar(&o.Slots, "slots", 8, "how many tasks it takes at once")
	cmd.Flags().IntVar(&o.Connections, "connections", 64, "how many connections it takes")
	cmd.Flags().Float64Var(&o.Speed, "speed", 1, "how fast it works")
	return cmd
}

func newSettings() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Work with settings files",
	}
	cmd.AddCommand(newSettingsCheck())
	return cmd
}

func newSettingsCheck() *cobra.Command {
	role := ""
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and print every finding with its place",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkSettings(role, args[0]); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: no findings\n", args[0])
			return nil
		},
	}
	cmd.Flags().StringVar(&role, "role", "", "`ROLE` that the file is for, entry or agent; told by its keys if not given")
	return cmd
}

func checkSettings(role, file string) error {
	if role == "" {
		role = process.DetectRole(file)
	}
	switch role {
	case "entry":
		_, err := process.LoadEntry(file)
		return err
	case "agent":
		_, err := process.LoadAgent(file)
		return err
	}
	return fmt.Errorf("--role: want entry or agent, got %q", role)
}
