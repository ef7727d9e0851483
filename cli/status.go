package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/decide/knowledge"
)

type statusCmd struct {
	Addrs []string `arg:"" optional:"" help:"Operators' addresses of instances; those of \"dev\" by default."`
}

// Run prints a row per instance and, if any instance follows a store, a summary of those
// that do.
func (c *statusCmd) Run(e *env) error {
	if len(c.Addrs) == 0 {
		c.Addrs = []string{"127.0.0.1:7301", "127.0.0.1:7302", "127.0.0.1:7303"}
	}
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tCONFIG\tMEMBERS\tENGINES\tOWNED\tREQUESTS\tANSWERED\tREFUSED\tFAILED")
	var failed []string
	var fleet catalogSpread
	var limited, noticed, refused, customers []string
	cold := coldTable{}
	for _, addr := range c.Addrs {
		d, err := fetchStatus(e.ctx, addr)
		if err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", addr, err))
			continue
		}
		d.writeRow(w, addr)
		limited = append(limited, d.limitRows(addr)...)
		noticed = append(noticed, d.noticeRows(addr)...)
		refused = append(refused, d.partRows(addr)...)
		customers = append(customers, d.customerRows(addr)...)
		if d.Catalog != nil {
			fleet.add(addr, *d.Catalog)
			cold.add(*d.Catalog)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if fleet.instances > 0 {
		fmt.Fprintln(e.out, fleet)
	}
	if line := fleet.evacuationLine(); line != "" {
		fmt.Fprintln(e.out, line)
	}
	tables := []struct {
		head string
		rows []string
	}{
		{"LAGGING INSTANCE\tCONFIG\tSTATE\tLAST WORD OF THE STORE", fleet.laggingRows()},
		{coldHead, cold.rows(fleet.instances)},
		{"INSTANCE\tSERVER\tLIMIT/S\tAGE\tOWNER\tPERMITS\tWAITING", limited},
		{"INSTANCE\tSERVER\tSAYS\tHEARD BY\tAGE\tUNTIL", noticed},
		{"INSTANCE\tREFUSED PART\tKEY\tCRASHES\tCOMPANIONS\tAGE\tNEXT TRIAL", refused},
		{"INSTANCE\tCUSTOMER\tUSAGE\tSHARE\tOVER\tHELD", customers},
	}
	for _, t := range tables {
		if err := writeRows(e.out, t.head, t.rows); err != nil {
			return err
		}
	}
	if len(failed) > 0 {
		return errors.New(strings.Join(failed, "; "))
	}
	return nil
}

func fetchStatus(ctx context.Context, addr string) (d dumpSummary, err error) {
	raw, err := fetchDump(ctx, addr)
	if err != nil {
		return d, err
	}
	return d, json.Unmarshal(raw, &d)
}

// writeRow writes the table row of one instance.
func (d dumpSummary) writeRow(w io.Writer, addr string) {
	n := d.Dispatch.Node
	name, version := n.Self, d.Config.Version
	if d.Catalog != nil {
		name, version = addr, d.Catalog.ConfigVersion
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, version, len(d.Members.Alive),
		n.Engines, len(n.Owned), n.Requests, n.Counts.Answered, n.Counts.Refused, n.Counts.Failed)
}

// limitRows returns a row for each limit that the instance knows.
func (d dumpSummary) limitRows(addr string) (rows []string) {
	for _, l := range d.Limits.Limits {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%g\t%s\t%s\t%d\t%d", addr, l.Server, l.PerSecond, l.Age.Round(time.Millisecond), l.Owner, l.Permits, l.Waiting))
	}
	return rows
}

// noticeRows returns a row for each server that said to leave, or that asked the instance for rest.
func (d dumpSummary) noticeRows(addr string) (rows []string) {
	for _, l := range d.Notices.Leaving {
		rows = append(rows, fmt.Sprintf("%s\t%s\tleaves\t%s\t%s\tits end", addr, l.Server, l.HeardBy, l.Age.Round(time.Millisecond)))
	}
	for _, r := range d.Notices.Resting {
		rows = append(rows, fmt.Sprintf("%s\t%s\trest\t%s\t%s\tin %s", addr, r.Server, addr, r.Age.Round(time.Millisecond), r.Left.Round(time.Millisecond)))
	}
	return rows
}

// partRows returns a row for each part of prompts that the instance refuses.
func (d dumpSummary) partRows(addr string) (rows []string) {
	for _, p := range d.Quarantine.Parts {
		age, trial := time.Duration(p.AgeMS)*time.Millisecond, time.Duration(p.NextTrialMS)*time.Millisecond
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%s\t%s", addr, p.ID, p.Key, p.Crashes, p.Companions, age, trial))
	}
	return rows
}

// maxCustomerRows bounds the customers listed for an instance, those with the most usage.
const maxCustomerRows = 8

// customerRows returns a row for each of the customers with the most usage of the engines, as the instance
// counts it.
func (d dumpSummary) customerRows(addr string) (rows []string) {
	for _, c := range d.Loads.Customers[:min(len(d.Loads.Customers), maxCustomerRows)] {
		over := "no"
		if c.Over {
			over = "yes"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d ms\t%d ms\t%s\t%d", addr, c.Customer, c.UsageMS, c.ShareMS, over, c.Held))
	}
	return rows
}

// writeRows writes a table, if it has any rows.
func writeRows(out io.Writer, head string, rows []string) error {
	if len(rows) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, head)
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	return w.Flush()
}

// catalogSpread summarizes how the instances of a fleet differ in their view of the store.
type catalogSpread struct {
	instances, unconfirmed int
	oldest, newest         uint64
	age                    time.Duration
	rows                   []catalogRow
}

func (s *catalogSpread) add(addr string, d follow.Dump) {
	s.rows = append(s.rows, catalogRow{addr, d})
	if s.instances == 0 || d.ConfigVersion < s.oldest {
		s.oldest = d.ConfigVersion
	}
	s.newest = max(s.newest, d.ConfigVersion)
	s.age = max(s.age, time.Duration(d.AgeMS)*time.Millisecond)
	if d.ConfigState != knowledge.Confirmed {
		s.unconfirmed++
	}
	s.instances++
}

// catalogRow is what one instance knows of the store.
type catalogRow struct {
	addr string
	dump follow.Dump
}

// laggingRows returns a row for each instance that has not the newest configuration of the fleet, or
// cannot know whether it has.
func (s *catalogSpread) laggingRows() (rows []string) {
	for _, r := range s.rows {
		if r.dump.ConfigVersion == s.newest && r.dump.ConfigState == knowledge.Confirmed {
			continue
		}
		age := time.Duration(r.dump.AgeMS) * time.Millisecond
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%s ago", r.addr, r.dump.ConfigVersion, r.dump.ConfigState, age))
	}
	return rows
}

// String formats the summary line of the fleet.
func (s catalogSpread) String() string {
	return fmt.Sprintf("%d instances: versions %d to %d, %d not confirmed, the oldest word of the store %s old",
		s.instances, s.oldest, s.newest, s.unconfirmed, s.age)
}
