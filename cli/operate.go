package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/auburnmoor/auburnmoor/decide/confver"
	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/port/objectapi"
	"github.com/auburnmoor/auburnmoor/result"
)

type applyCmd struct {
	File      string        `arg:"" type:"existingfile" help:"Manifest file."`
	ObjectAPI string        `default:"127.0.0.1:7001" help:"Address of the platform's object API."`
	Base      *uint64       `help:"Version that the change was made against; the version in force by default."`
	WriteID   string        `help:"Identifier of this change; repeat it to learn the fate of an unconfirmed one."`
	Timeout   time.Duration `default:"30s" help:"How long to try."`
}

// Run checks a manifest and stores it as the next configuration version.
func (c *applyCmd) Run(e *env) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := manifest.Parse(raw); err != nil {
		return usageError(errors.Wrap(err, c.File))
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	store := objectapi.NewClient(c.ObjectAPI)
	if c.WriteID == "" {
		c.WriteID = uuid.NewString()
	}
	base, err := c.base(ctx, store)
	if err != nil {
		return err
	}
	version, err := confver.Accept(ctx, store, raw, base, c.WriteID)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "accepted: version %d\n", version)
	return nil
}

// base returns the version that the change replaces.
func (c *applyCmd) base(ctx context.Context, store objectapi.Store) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	cur, err := confver.ReadPointer(ctx, store)
	if err != nil {
		return 0, result.New(result.StoreUnavailable, "reading the version in force: %v", err)
	}
	return cur.Pointer.Version, nil
}

type dumpCmd struct {
	Addr    string `arg:"" help:"Operators' address of an instance."`
	Request string `help:"Print only the decisions on this request."`
}

// Run prints a state dump or the record of one request from it.
func (c *dumpCmd) Run(e *env) error {
	raw, err := fetchDump(e.ctx, c.Addr)
	if err != nil {
		return err
	}
	if c.Request == "" {
		_, err = e.out.Write(raw)
		return err
	}
	var d dumpSummary
	if err := json.Unmarshal(raw, &d); err != nil {
		return err
	}
	for _, r := range d.Dispatch.Node.Records {
		if r.ID == c.Request {
			enc := json.NewEncoder(e.out)
			enc.SetIndent("", "  ")
			return enc.Encode(r)
		}
	}
	return errors.Newf("instance %s has no record of request %s", c.Addr, c.Request)
}

// maxResponseBytes bounds the response to an operator call, such as a state dump.
const maxResponseBytes = 64 << 20

func fetchDump(ctx context.Context, addr string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/admin/dump", nil)
	if err != nil {
		return nil, usageError(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answered %d", addr, resp.StatusCode)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
}

type clearCmd struct {
	Addr     string `arg:"" help:"Operators' address of any instance."`
	Identity string `arg:"" help:"Identity of the request, or key of the part of prompts, from a log line, the status or the state dump."`
}

// operateTimeout bounds an operator action on an instance.
const operateTimeout = 10 * time.Second

// Run lifts the quarantine of a request, or of a part of prompts, at all instances.
func (c *clearCmd) Run(e *env) error {
	ctx, cancel := context.WithTimeout(e.ctx, operateTimeout)
	defer cancel()
	target := "http://" + c.Addr + "/admin/operate/control.quarantine/clear?subject=" + url.QueryEscape(c.Identity)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return usageError(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		message, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		return errors.Newf("%s answered %d: %s", c.Addr, resp.StatusCode, strings.TrimSpace(string(message)))
	}
	return nil
}

type versionCmd struct{}

// Run prints the version recorded in the build information.
func (*versionCmd) Run(e *env) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				version += " " + s.Value
			}
		}
	}
	_, err := fmt.Fprintln(e.out, "auburnmoor", version)
	return err
}
