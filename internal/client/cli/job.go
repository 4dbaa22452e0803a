package cli

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
)

// maxPrintedResults is how many results are printed without --json.
const maxPrintedResults = 5

func newJob() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "job",
		Short: "Submit, look up and cancel jobs",
	}
	cmd.AddCommand(newJobSubmit(), newJobStatus(), newJobCancel())
	return cmd
}

// submitFlags holds the flags of "job submit".
type submitFlags struct {
	api     apiFlags
	team    string
	id      string
	service string
	kind    string
	payload string
	tasks   int
	timeout time.Duration
	file    string
}

func newJobSubmit() *cobra.Command {
	var f submitFlags
	cmd := &cobra.Command{
		Use:   "submit",
		Short: "Submit a job and wait for its answer",
		Long:  "Submit a job and wait for its answer. The job comes from --file, or is made of --tasks equal tasks.\nWithout --id a new id is made; with the id of an earlier job the answer of that job comes back.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.run(cmd)
		},
	}
	f.api.addCallerFlags(cmd)
	cmd.Flags().StringVar(&f.team, "team", "demo", "the team that the job counts for")
	cmd.Flags().StringVar(&f.id, "id", "", "the id of the job")
	cmd.Flags().StringVar(&f.service, "service", "sample", "the service that runs the tasks")
	cmd.Flags().StringVar(&f.kind, "kind", "echo", "the kind of the tasks")
	cmd.Flags().StringVar(&f.payload, "payload", "hello", "the payload of each task; %d stands for the number of the task")
	cmd.Flags().IntVar(&f.tasks, "tasks", 1, "how many tasks the job has")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 30*time.Second, "how far away the deadline is")
	cmd.Flags().StringVar(&f.file, "file", "", "a `FILE` with the job as the caller API takes it, in JSON")
	return cmd
}

func (f *submitFlags) run(cmd *cobra.Command) error {
	job, err := f.buildJob()
	if err != nil {
		return err
	}
	client, err := f.api.callerClient()
	if err != nil {
		return err
	}
	start := time.Now()
	answer, err := client.SubmitJob(cmd.Context(), job)
	if err != nil {
		return formatCallerError(err)
	}
	if f.api.json {
		return printJSON(cmd.OutOrStdout(), answer)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "job %s/%s: ", job.Team, job.JobID)
	return printAnswer(cmd.OutOrStdout(), answer, time.Since(start))
}

// buildJob returns the job in the file that --file names, or a job made from the
// other flags if there is none.
func (f *submitFlags) buildJob() (*callerapi.Job, error) {
	if f.file != "" {
		return readJob(f.file)
	}
	job := &callerapi.Job{
		Team:     callerapi.Name(f.team),
		JobID:    callerapi.Name(f.id),
		Service:  callerapi.Name(f.service),
		Deadline: time.Now().Add(f.timeout),
	}
	if f.id == "" {
		job.JobID = callerapi.Name(rand.Text())
		job.FirstSubmission = callerapi.NewOptBool(true)
	}
	for i := range f.tasks {
		job.Tasks = append(job.Tasks, callerapi.Task{
			Kind:    callerapi.Name(f.kind),
			Payload: []byte(replaceTaskNumber(f.payload, i)),
		})
	}
	return job, nil
}

func readJob(file string) (*callerapi.Job, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("--file: %w", err)
	}
	var job callerapi.Job
	if err := json.Unmarshal(text, &job); err != nil {
		return nil, fmt.Errorf("--file: %s: %w", file, err)
	}
	return &job, nil
}

func newJobStatus() *cobra.Command {
	var api apiFlags
	cmd := &cobra.Command{
		Use:   "status TEAM ID",
		Short: "Look up a job",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := api.callerClient()
			if err != nil {
				return err
			}
			status, err := client.GetJob(cmd.Context(), callerapi.GetJobParams{
				Team:  callerapi.Name(args[0]),
				JobID: callerapi.Name(args[1]),
			})
			if err != nil {
				return formatCallerError(err)
			}
			if api.json {
				return printJSON(cmd.OutOrStdout(), status)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d of %d tasks done, %d with agents\n",
				status.Phase, status.Done, status.Tasks, status.Running)
			return nil
		},
	}
	api.addCallerFlags(cmd)
	return cmd
}

func newJobCancel() *cobra.Command {
	var api apiFlags
	cmd := &cobra.Command{
		Use:   "cancel TEAM ID",
		Short: "Cancel a job and print its final answer",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := api.callerClient()
			if err != nil {
				return err
			}
			answer, err := client.CancelJob(cmd.Context(), callerapi.CancelJobParams{
				Team:  callerapi.Name(args[0]),
				JobID: callerapi.Name(args[1]),
			})
			if err != nil {
				return formatCallerError(err)
			}
			if api.json {
				return printJSON(cmd.OutOrStdout(), answer)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "job %s/%s: ", args[0], args[1])
			return printAnswer(cmd.OutOrStdout(), answer, 0)
		},
	}
	api.addCallerFlags(cmd)
	return cmd
}

// printAnswer prints the outcome of a job, and the elapsed time if it is not 0.
func printAnswer(w io.Writer, answer *callerapi.Answer, elapsed time.Duration) error {
	if answer.Status != callerapi.AnswerStatusComplete {
		fmt.Fprintf(w, "failed: %s (%s), may have run: %t\n", answer.Reason.Value, answer.Detail.Value, answer.MayHaveRun.Value)
		return nil
	}
	fmt.Fprintf(w, "complete, %d results", len(answer.Results))
	if elapsed > 0 {
		fmt.Fprintf(w, " in %s", elapsed.Round(time.Millisecond))
	}
	fmt.Fprintln(w)
	for i, r := range answer.Results[:min(len(answer.Results), maxPrintedResults)] {
		fmt.Fprintf(w, "  %d: %s\n", i, r)
	}
	if len(answer.Results) > maxPrintedResults {
		fmt.Fprintf(w, "  and %d more\n", len(answer.Results)-maxPrintedResults)
	}
	return nil
}

// formatCallerError returns a refusal by the caller API as a readable error, and
// any other error unchanged.
func formatCallerError(err error) error {
	var refusal *callerapi.RefusalStatusCode
	if !errors.As(err, &refusal) {
		return err
	}
	r := refusal.Response
	text := fmt.Sprintf("refused: %s: %s (not run: %t)", r.Reason, r.Detail, r.NotRun)
	for _, f := range r.Findings {
		text += fmt.Sprintf("\n  %s: %s", f.Field, f.Problem)
	}
	return errors.New(text)
}
