package cli

import (
	"slices"
	"testing"

	"github.com/auburnmoor/auburnmoor/control/follow"
	"github.com/auburnmoor/auburnmoor/control/loads"
	"github.com/auburnmoor/auburnmoor/decide/knowledge"
)

func TestCatalogSpread(t *testing.T) {
	var s catalogSpread
	s.add("a", follow.Dump{ConfigVersion: 9, ConfigState: knowledge.Confirmed, AgeMS: 400})
	s.add("a", follow.Dump{ConfigVersion: 7, ConfigState: knowledge.Old, AgeMS: 5200})
	s.add("a", follow.Dump{ConfigVersion: 9, ConfigState: knowledge.Confirmed, AgeMS: 100})
	const want = "3 instances: versions 7 to 9, 1 not confirmed, the oldest word of the store 5.2s old"
	if got := s.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestLaggingRows(t *testing.T) {
	var s catalogSpread
	s.add("a", follow.Dump{ConfigVersion: 9, ConfigState: knowledge.Confirmed, AgeMS: 400})
	s.add("b", follow.Dump{ConfigVersion: 7, ConfigState: knowledge.Old, AgeMS: 5200})
	s.add("c", follow.Dump{ConfigVersion: 9, ConfigState: knowledge.Old, AgeMS: 4100})
	want := []string{"b\t7\told\t5.2s ago", "c\t9\told\t4.1s ago"}
	if got := s.laggingRows(); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestColdRows guards against an instance that does not know of a cold server and goes unnoticed.
func TestColdRows(t *testing.T) {
	table := coldTable{}
	table.add(follow.Dump{Cold: []follow.DumpCold{{Server: "e1", Service: "model", LeftMS: 2400}, {Server: "e0", Service: "model", LeftMS: 900}}})
	table.add(follow.Dump{Cold: []follow.DumpCold{{Server: "e1", Service: "model", LeftMS: 2500}}})
	table.add(follow.Dump{})
	want := []string{"e0\tmodel\t900ms\t1 of 3", "e1\tmodel\t2.5s\t2 of 3"}
	if got := table.rows(3); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestCustomerRows guards against a status of hundreds of rows, and against values in other columns.
func TestCustomerRows(t *testing.T) {
	var d dumpSummary
	d.Loads.Customers = make([]loads.CustomerDump, 20)
	d.Loads.Customers[0] = loads.CustomerDump{Customer: "c", UsageMS: 5000, ShareMS: 1200, Over: true, Held: 3}
	got := d.customerRows("a")
	if len(got) != maxCustomerRows || got[0] != "a\tc\t5000 ms\t1200 ms\tyes\t3" {
		t.Errorf("got %q", got)
	}
}
