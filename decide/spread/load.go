// Package spread places requests on backend servers, from the work that all instances have
// placed on them. For a model service, one server (the writer) decodes the answer, and
// others (the helpers) may prefill parts of its prompt. Prompts that take 100 ms or more
// to prefill on one engine are long; those that take 1 s or more, or that no engine can
// hold, are deep and queue at the instances.
//
// Comments on constants give shares of the value of requests (see value) that were kept or
// lost under simulated loads. The package does no I/O and reads no clock.
package spread

import "time"

// Load is work placed on one server.
type Load struct {
	// Calls are the requests whose answer the server decodes.
	Calls int64
	// DeepCalls are the calls with a deep prompt.
	DeepCalls int64 `json:"LongCalls"`
	// HeldTokens is the KV cache of the calls and the parts reserved for calls of other
	// servers.
	HeldTokens int64
	// Prefill is the prefill time that is still pending, by prediction.
	Prefill time.Duration `json:"Read"`
	// UnconfirmedPrefill is the prefill time of prompts whose first event has not come.
	// Prefill ends at its predicted end, UnconfirmedPrefill when the first event confirms
	// it.
	UnconfirmedPrefill time.Duration `json:"Unread"`
	// Parts are prompts of which the server prefills a part for another server.
	Parts int64
}

func (l Load) plus(o Load) Load {
	return Load{Calls: l.Calls + o.Calls, DeepCalls: l.DeepCalls + o.DeepCalls, HeldTokens: l.HeldTokens + o.HeldTokens, Prefill: l.Prefill + o.Prefill, Parts: l.Parts + o.Parts, UnconfirmedPrefill: l.UnconfirmedPrefill + o.UnconfirmedPrefill}
}

// Minus returns l with o subtracted.
func (l Load) Minus(o Load) Load {
	return Load{Calls: l.Calls - o.Calls, DeepCalls: l.DeepCalls - o.DeepCalls, HeldTokens: l.HeldTokens - o.HeldTokens, Prefill: l.Prefill - o.Prefill, Parts: l.Parts - o.Parts, UnconfirmedPrefill: l.UnconfirmedPrefill - o.UnconfirmedPrefill}
}

// HasSlots reports whether a server with so many slots runs all its calls at once.
func (l Load) HasSlots(slots int) bool { return slots > 0 && l.Calls <= int64(slots) }

// PrefillPhase is the part of the work that ends with the first event of an answer.
func (l Load) PrefillPhase() Load {
	return Load{UnconfirmedPrefill: l.UnconfirmedPrefill, Parts: l.Parts}
}

// DecodePhase is the part of the work that ends with the answer.
func (l Load) DecodePhase() Load {
	return Load{Calls: l.Calls, DeepCalls: l.DeepCalls, HeldTokens: l.HeldTokens}
}
