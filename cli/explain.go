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

// Run prints the story of a request.
func (c *explainCmd) Run(e *env) error {
	all, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	s := explain.Of(c.ID, all)
	if err := s.Write(e.out); err != nil {
		return err
	}
	if len(s.Request) == 0 {
		return errors.Newf("request %s is in none of %d files", c.ID, len(c.Files))
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
