//go:build review

package kit

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// fields are the fields with which the platform fills in the template of the settings.
type fields map[string]any

// bounds of the small deployments, as their sheets state them.
func smallBounds() fields {
	return fields{
		"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
		"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": false, "revokeMs": 5000,
		"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 104, "recoveryS": 12, "passMs": 120, "retryAfterS": 0,
		"stall_ms": 1500, "maxHoldMs": 20000, "freeMs": 4000, "idleMaxMs": 9000, "ttl_max_s": 5,
	}
}

func (f fields) get(path string) any {
	var v any = f
	for _, name := range strings.Split(path, ".") {
		m, ok := v.(fields)
		if !ok {
			return nil
		}
		v = m[name]
	}
	return v
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}\n?(.*?)\{\{/([\w.]+)\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a template: sections that depend on whether a value is present, and values.
func render(template string, f fields) string {
	out := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if v := f.get(m[1]); v == nil || v == false {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(out, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := f.get(m[1])
		if m[2] != "" {
			raw, _ := json.Marshal(v)
			return string(raw)
		}
		switch v := v.(type) {
		case nil:
			return ""
		case []string:
			return strings.Join(v, ",")
		default:
			return fmt.Sprint(v)
		}
	})
}
