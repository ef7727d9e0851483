package quarantine

import (
	"maps"

	"github.com/auburnmoor/auburnmoor/decide/blame"
)

// maxNames bounds the IDs of parts that are remembered for operators.
const maxNames = 4096

// partNames are the IDs of parts that this instance refused or that were in crashes here.
type partNames map[blame.Key]string

// add remembers the IDs of the parts of a run. If there are too many, only those of the kept
// parts remain of the others.
func (n partNames) add(r *Run, kept map[blame.Key]bool) {
	keys := r.features().Parts
	if len(n)+len(keys) > maxNames {
		maps.DeleteFunc(n, func(k blame.Key, _ string) bool { return !kept[k] })
	}
	for i, k := range keys {
		n[k] = r.Parts[i]
	}
}
