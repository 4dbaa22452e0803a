package cli

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/go-faster/jx"
	"github.com/spf13/cobra"

	"github.com/savorystair/savorystair/internal/gen/operatorapi"
	"github.com/savorystair/savorystair/internal/settings/document"
)

func newConfig() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Work with the configuration document",
	}
	cmd.AddCommand(newConfigGet(), newConfigCheck(), newConfigEdit(), newConfigHistory())
	return cmd
}

func newConfigGet() *cobra.Command {
	var api apiFlags
	cmd := &cobra.Command{
		Use:   "get [SECTION]",
		Short: "Print the document, or one section of it",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := api.operatorClient()
			if err != nil {
				return err
			}
			doc, err := client.GetConfig(cmd.Context())
			if err != nil {
				return formatOperatorError(err)
			}
			if len(args) == 1 {
				doc.Sections = findSection(doc.Sections, args[0])
			}
			if api.json {
				return printJSON(cmd.OutOrStdout(), doc)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "document version %d\n", doc.Version)
			for _, s := range doc.Sections {
				fmt.Fprintf(cmd.OutOrStdout(), "%s, version %d:\n%s\n", s.Name, s.Version, s.Body)
			}
			return nil
		},
	}
	api.addOperatorFlags(cmd)
	return cmd
}

// findSection returns the section with the given name. For a section that was
// never edited it returns an empty one at version 0.
func findSection(sections []operatorapi.Section, name string) []operatorapi.Section {
	for _, s := range sections {
		if s.Name == name {
			return []operatorapi.Section{s}
		}
	}
	return []operatorapi.Section{{Name: name, Body: jx.Raw("{}")}}
}

func newConfigCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check SECTION FILE",
		Short: "Check a section's text and print every finding with its place",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readSectionFile(args[1])
			if err != nil {
				return err
			}
			if err := document.Check(args[0], args[1], text); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: no findings\n", args[1])
			return nil
		},
	}
}

// editFlags holds the flags of "config edit".
type editFlags struct {
	api    apiFlags
	from   int64
	id     string
	author string
}

func newConfigEdit() *cobra.Command {
	var f editFlags
	cmd := &cobra.Command{
		Use:   "edit SECTION FILE --from VERSION",
		Short: "Replace a section by a file, unless it has moved on from VERSION",
		Long:  "Replace a section by a file, unless it has moved on from VERSION. When the outcome of an edit stays\nopen, repeat it with the edit id that the error names: it is made once.",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.run(cmd, args[0], args[1])
		},
	}
	f.api.addOperatorFlags(cmd)
	cmd.Flags().Int64Var(&f.from, "from", 0, "the `VERSION` of the section that the edit was made from, 0 for a new section")
	cmd.Flags().StringVar(&f.id, "edit-id", "", "the `ID` of the edit; made if not given")
	addAuthorFlag(cmd, &f.author)
	return cmd
}

func (f *editFlags) run(cmd *cobra.Command, section, file string) error {
	text, err := readSectionFile(file)
	if err != nil {
		return err
	}
	if err := document.Check(section, file, text); err != nil {
		return err
	}
	client, err := f.api.operatorClient()
	if err != nil {
		return err
	}
	if f.id == "" {
		f.id = rand.Text()
	}
	accepted, err := client.EditSection(cmd.Context(), &operatorapi.Edit{
		FromVersion: f.from,
		EditID:      f.id,
		Author:      f.author,
		Body:        jx.Raw(text),
	}, operatorapi.EditSectionParams{Section: section})
	if err != nil {
		return fmt.Errorf("edit id %s: %w", f.id, formatOperatorError(err))
	}
	return printAccepted(cmd.OutOrStdout(), accepted, f.api.json)
}

func printAccepted(w io.Writer, section *operatorapi.Section, asJSON bool) error {
	if asJSON {
		return printJSON(w, section)
	}
	fmt.Fprintf(w, "%s is at version %d, the document at %d\n", section.Name, section.Version, section.DocumentVersion)
	return nil
}

func newConfigHistory() *cobra.Command {
	var api apiFlags
	cmd := &cobra.Command{
		Use:   "history SECTION",
		Short: "Print the latest accepted edits of a section, newest first",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := api.operatorClient()
			if err != nil {
				return err
			}
			edits, err := client.GetHistory(cmd.Context(), operatorapi.GetHistoryParams{Section: args[0]})
			if err != nil {
				return formatOperatorError(err)
			}
			if api.json {
				return printJSON(cmd.OutOrStdout(), edits)
			}
			for _, e := range edits {
				fmt.Fprintf(cmd.OutOrStdout(), "version %d by %s at %s, edit id %s\n%s\n",
					e.Version, e.Author, e.Accepted.Format(time.RFC3339), e.EditID, e.Body)
			}
			return nil
		},
	}
	api.addOperatorFlags(cmd)
	return cmd
}

func addAuthorFlag(cmd *cobra.Command, author *string) {
	name := "operator"
	if u, err := user.Current(); err == nil && u.Username != "" {
		name = u.Username
	}
	cmd.Flags().StringVar(author, "author", name, "who makes the edit")
}

func readSectionFile(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read section file: %w", err)
	}
	return text, nil
}

// formatOperatorError returns a refusal by the operator API as a readable error,
// and any other error unchanged.
func formatOperatorError(err error) error {
	var problem *operatorapi.ProblemStatusCode
	if !errors.As(err, &problem) {
		return err
	}
	text := problem.Response.Reason + ": " + problem.Response.Detail
	return errors.New(text)
}
