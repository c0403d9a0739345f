package bench

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/worth"
)

// printWorth says where days lost their worth: files that end in .json are reports of the
// users' bench, all others logs of entry boxes.
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
		return merry.New("name reports (.json) or logs")
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
