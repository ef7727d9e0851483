package cli

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/explain"
)

type explainCmd struct {
	ID    string   `arg:"" help:"Id of the request, as its client sent it."`
	Files []string `arg:"" type:"existingfile" help:"Log files of all instances."`
}

// Run prints the timeline of a request.
func (c *explainCmd) Run(e *env) error {
	all, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	t := explain.BuildTimeline(c.ID, all)
	if err := t.Write(e.out); err != nil {
		return err
	}
	if len(t.Request) == 0 {
		return errors.Newf("request %s is not in any of the %d log files", c.ID, len(c.Files))
	}
	return nil
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return explain.Read(f)
}
