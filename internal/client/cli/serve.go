package cli

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
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

// managedProcess is an entry, an agent or a local system.
type managedProcess interface {
	// Stop makes the process accept no further work, and waits until none is in
	// flight or ctx ends.
	Stop(ctx context.Context) error
	// Close ends the process without waiting for work in flight.
	Close()
}

// runUntilStopped waits until the command's context ends, then stops and closes
// the process. On SIGHUP it calls reload.
func runUntilStopped(ctx context.Context, p managedProcess, timeout time.Duration, reload func()) error {
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
	defer p.Close()
	stopCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.Stop(stopCtx)
}

// logReload logs whether the settings were reloaded. After an error the previous
// settings remain in force.
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
			settings, err := process.LoadEntry(file)
			if err != nil {
				return err
			}
			lines := logfmt.NewQueue(cmd.OutOrStdout())
			defer lines.Close()
			log := logfmt.New(lines, settings.LogLevel.Zap(), "entry", settings.ID)
			var options entryhost.Options
			if settings.Adapter != nil {
				options = platform.EntryOptions(settings)
				limitMemory(settings.Adapter.MemoryMB)
			}
			entry, err := entryhost.Start(settings, log, options)
			if err != nil {
				return err
			}
			return runUntilStopped(cmd.Context(), entry, settings.StopTimeout(), func() {
				next, err := process.LoadEntry(file)
				logReload(log, file, err)
				if err == nil {
					entry.Reload(next)
				}
			})
		},
	}
	addSettingsFlag(cmd, &file)
	return cmd
}

// memoryLimitShare is the share of a process's memory that the heap may take before
// the garbage collector works harder. The rest is for buffers of the kernel, which
// the platform counts as well.
const memoryLimitShare = 0.8

// limitMemory makes the garbage collector keep the process below the memory that
// the platform allows it; 0 means that there is no limit.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(megabytes) * (1 << 20)))
	}
}

func newAgent() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "agent --settings FILE",
		Short: "Run an agent beside an endpoint",
		Long:  "Run an agent. The endpoint on its host announces itself to it, and it hands the endpoint tasks\nwithin its slots. On SIGTERM it takes no new tasks, lets running ones end, and ends.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := process.LoadAgent(file)
			if err != nil {
				return err
			}
			lines := logfmt.NewQueue(cmd.OutOrStdout())
			defer lines.Close()
			log := logfmt.New(lines, settings.LogLevel.Zap(), "agent", settings.ID)
			var options agenthost.Options
			if settings.Adapter != nil {
				options = platform.AgentOptions(settings, log)
				limitMemory(settings.Adapter.MemoryMB)
			}
			agent, err := agenthost.Start(settings, log, options)
			if err != nil {
				return err
			}
			return runUntilStopped(cmd.Context(), agent, settings.StopTimeout(), func() {
				next, err := process.LoadAgent(file)
				logReload(log, file, err)
				if err == nil {
					agent.Reload(next)
				}
			})
		},
	}
	addSettingsFlag(cmd, &file)
	return cmd
}

// settingsVariable is the environment variable that holds the default of
// --settings.
const settingsVariable = "SAVORYSTAIR_SETTINGS"

func addSettingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", os.Getenv(settingsVariable), "the settings `FILE`, in JSON; without it, that of $"+settingsVariable)
}

// localStopTimeout bounds the planned stop of a local system.
const localStopTimeout = 10 * time.Second

func newLocal() *cobra.Command {
	var options local.Options
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
			system, err := local.Start(cmd.Context(), options, log)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "ready: callers at %s, operators at %s\n",
				system.Entries[0].CallerAddress(), system.Entries[0].OperatorAddress())
			return runUntilStopped(cmd.Context(), system, localStopTimeout, func() {})
		},
	}
	cmd.Flags().StringVar(&options.CallerAddress, "caller-address", "127.0.0.1:7001", "`ADDRESS` of the caller API")
	cmd.Flags().StringVar(&options.OperatorAddress, "operator-address", "127.0.0.1:7002", "`ADDRESS` of the operator API")
	cmd.Flags().IntVar(&options.Agents, "agents", 3, "number of agents, each with an endpoint")
	cmd.Flags().IntVar(&options.Slots, "slots", 8, "slots of each endpoint")
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
			// Serve always returns an error, which is expected once the context has
			// ended.
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
	var options endpoint.Options
	cmd := &cobra.Command{
		Use:   "endpoint",
		Short: "Run a sample endpoint",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			e, err := endpoint.Start(options)
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
	cmd.Flags().StringVar(&options.Address, "address", "127.0.0.1:0", "`ADDRESS` to listen on")
	cmd.Flags().StringVar(&options.AgentAddress, "agent", "", "`ADDRESS` of the agent")
	cmd.Flags().StringVar(&options.Service, "service", "sample", "the service that the endpoint runs")
	cmd.Flags().IntVar(&options.Slots, "slots", 8, "how many tasks it takes at once")
	cmd.Flags().IntVar(&options.Connections, "connections", 64, "how many connections it takes")
	cmd.Flags().Float64Var(&options.Speed, "speed", 1, "how fast it works")
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
