package dev

import (
	"fmt"

	"github.com/auburnmoor/auburnmoor/manifest"
)

// DemoKey is the bearer key of the first customer in the example manifests.
const DemoKey = "demo-key"

// Examples returns curl commands that call the site.
func (s *Site) Examples() []string {
	entry := s.CallerAddr(0)
	auth := fmt.Sprintf("-H 'Authorization: Bearer %s'", DemoKey)
	out := []string{
		fmt.Sprintf("curl http://%s/v1/entries", entry),
		fmt.Sprintf("curl http://%s/v1/models %s", entry, auth),
	}
	if names := s.index.ServiceNames(manifest.Model); len(names) > 0 {
		out = append(out, fmt.Sprintf(
			`curl -N http://%s/v1/chat/completions %s -d '{"model":"%s","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Is the second paragraph clear?"}]}'`,
			entry, auth, names[0]))
	}
	for _, name := range s.index.ServiceNames(manifest.Plain) {
		svc, _ := s.index.Service(name)
		kind, _ := s.index.Kind(svc.DefaultKind)
		key := ""
		if kind.NeverTwice {
			key = fmt.Sprintf("-H 'Idempotency-Key: %s-4711' ", name)
		}
		out = append(out, fmt.Sprintf("curl -X POST http://%s/v1/services/%s/run %s %s-d '{}'", s.CallerAddr(1), name, auth, key))
	}
	return out
}
