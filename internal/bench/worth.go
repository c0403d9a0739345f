package bench

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/worth"
)

// reportCommand is a command that reads earlier results from the given paths.
type reportCommand struct {
	name string
	help string
	run  func(out io.Writer, paths []string) error
}

func reportCommands() []reportCommand {
	return []reportCommand{
		{"worth", "where days lost their worth, by reports of the users' bench (.json) and logs of boxes that follow", printWorth},
		{"ablation", "what mechanisms are worth, by a folder that bench/ablate.sh filled", printAblation},
		{"journal", "what was tried, by reason and outcome: the journal's folder, and a text that reasons contain", printJournal},
		{"mechanisms", "the mechanisms that can be switched off", printMechanisms},
	}
}

func runReportCommand(r reportCommand, paths []string, out, errOut io.Writer) int {
	if err := r.run(out, paths); err != nil {
		fmt.Fprintln(errOut, "cometlock-bench:", r.name+":", err)
		return exitFailed
	}
	return exitOK
}

func printAblation(out io.Writer, paths []string) error {
	if len(paths) != 1 {
		return merry.New("expected one argument: a folder")
	}
	return worth.PrintAblation(out, paths[0])
}

func printJournal(out io.Writer, arguments []string) error {
	if len(arguments) == 0 || len(arguments) > 2 {
		return merry.New("expected arguments: the journal folder and optionally a text that reasons contain")
	}
	return worth.PrintJournal(out, arguments[0], strings.Join(arguments[1:], ""))
}

func printMechanisms(out io.Writer, _ []string) error {
	for _, m := range mechanism.All() {
		if _, err := fmt.Fprintln(out, m); err != nil {
			return err
		}
	}
	return nil
}

// printWorth prints where days lost worth. Files that end in .json are reports of the users'
// bench, and all others are logs of entry boxes.
func printWorth(out io.Writer, files []string) error {
	var reports []worth.Report
	causes, logs := worth.NewCauses(), 0
	for _, file := range files {
		if strings.HasSuffix(file, ".json") {
			report, err := worth.ReadReport(file)
			if err != nil {
				return err
			}
			reports = append(reports, report)
			continue
		}
		if err := readLog(causes, file); err != nil {
			return err
		}
		logs++
	}
	if len(files) == 0 {
		return merry.New("expected arguments: reports (.json) or logs")
	}
	if err := worth.Print(out, reports); err != nil || logs == 0 {
		return err
	}
	if _, err := fmt.Fprintln(out); err != nil {
		return err
	}
	return causes.Print(out)
}

func readLog(causes *worth.Causes, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return merry.Prepend(err, "read log")
	}
	defer file.Close()
	return causes.Read(file)
}
