package workerserver

import (
	"slices"
	"strings"
)

// SetDeadlyParts sets the IDs of the prompt parts that crash the server from now on when it
// begins to write an answer on them. The last part of a prompt never does.
func (s *Server) SetDeadlyParts(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlyParts = ids
}

// partsHeader lists the parts of a prompt as ID:TOKENS entries.
const partsHeader = "X-Prompt-Prefix"

// deadly reports whether the server crashes when it writes an answer on a prompt.
func (s *Server) deadly(parts string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := strings.Split(parts, ",")
	return slices.ContainsFunc(entries[:len(entries)-1], func(e string) bool {
		id, _, _ := strings.Cut(e, ":")
		return slices.Contains(s.deadlyParts, id)
	})
}
