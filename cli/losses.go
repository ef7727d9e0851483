package cli

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/explain"
	"github.com/auburnmoor/auburnmoor/losses"
)

type lossesCmd struct {
	Files []string `arg:"" type:"existingfile" help:"Log files of all instances."`
	JSON  bool     `help:"Print the report as JSON."`
}

// Run prints the lost requests by cause.
func (c *lossesCmd) Run(e *env) error {
	all, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	rep := losses.Find(all)
	if rep.Requests == 0 {
		return usageError(errors.Newf("no request lines in %s", strings.Join(c.Files, ", ")))
	}
	if c.JSON {
		return rep.JSON(e.out)
	}
	return rep.Write(e.out)
}

// readLogs reads the lines of several log files.
func readLogs(names []string) (all []explain.Line, err error) {
	for _, name := range names {
		lines, err := readLog(name)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}
