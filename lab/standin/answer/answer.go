// Package answer defines the text that the engine stand-in generates. It
// depends on the whole prompt, so that a client can check that an answer is
// complete and belongs to its prompt.
package answer

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns token i of the answer to the prompt with this hash.
func Token(hash uint64, i int64) string {
	if i == 0 {
		return fmt.Sprintf("ans-%016x", hash)
	}
	return fmt.Sprintf(" w%d", i)
}

// Whole returns the complete answer of n tokens to prompt.
func Whole(prompt string, n int64) string {
	h := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(h, i))
	}
	return b.String()
}
