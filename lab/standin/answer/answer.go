// Package answer defines the text that the engine stand-in generates. It
// depends on the whole prompt, so a client can tell whether an answer is its
// own and whole.
package answer

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns piece i of the answer to a prompt with this hash.
func Token(hash uint64, i int64) string {
	if i == 0 {
		return fmt.Sprintf("ans-%016x", hash)
	}
	return fmt.Sprintf(" w%d", i)
}

// Whole returns the complete answer of n pieces to prompt.
func Whole(prompt string, n int64) string {
	h := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(h, i))
	}
	return b.String()
}
