package api

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/decide/sequence"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/port/engine"
	"github.com/auburnmoor/auburnmoor/result"
)

func TestAPI(t *testing.T) { testkit.Suite(t, "api") }

var _ = Describe("a request body", func() {
	DescribeTable("is rejected with the bad_request code when malformed",
		func(body string, chat bool, part string) {
			_, _, err := parseCompletion([]byte(body), chat)
			Expect(result.From(err).Code).To(Equal(result.BadRequest))
			Expect(result.From(err).NotRun).To(BeTrue())
			Expect(err).To(MatchError(ContainSubstring(part)))
		},
		Entry("no JSON", `{`, false, "not a valid request"),
		Entry("no model", `{"prompt":"x"}`, false, "model"),
		Entry("no prompt", `{"model":"m"}`, false, "prompt"),
		Entry("empty prompt", `{"model":"m","prompt":""}`, false, "empty"),
		Entry("token ids", `{"model":"m","prompt":[1,2]}`, false, "one string"),
		Entry("negative max_tokens", `{"model":"m","prompt":"x","max_tokens":-3}`, false, "max_tokens"),
		Entry("fractional max_tokens", `{"model":"m","prompt":"x","max_tokens":1.5}`, false, "not a valid request"),
		Entry("two answers", `{"model":"m","prompt":"x","n":2}`, false, "n must be 1"),
		Entry("no messages", `{"model":"m"}`, true, "messages"),
		// Guards against a short body that takes many times its size once it is parsed.
		Entry("too many messages", `{"model":"m","messages":[`+strings.Repeat(`{},`, maxElements)+`{}]}`, true, "more than 16384 messages"),
		Entry("too many parts of a message", `{"model":"m","messages":[{"role":"user","content":[`+strings.Repeat(`{},`, maxElements)+`{}]}]}`, true, "message 0"),
		Entry("many prompts", `{"model":"m","prompt":["",""]}`, false, "one string"),
		Entry("message without role", `{"model":"m","messages":[{"content":"x"}]}`, true, "message 0"),
	)

	It("yields the text and the text parts of chat messages", func() {
		_, prompt, err := parseCompletion([]byte(`{"model":"m","messages":[{"role":"system","content":"a"},{"role":"user","content":[{"type":"text","text":"b"}]}]}`), true)
		Expect(err).NotTo(HaveOccurred())
		Expect(prompt).To(Equal("system: a\nuser: b\n"))
	})
})

var _ = Describe("an answer's chunks", func() {
	// If an engine answers one stream with a chunk of another, a caller would see
	// someone else's answer. Chunks are therefore matched by stream id, which names
	// the attempt, not by connection, and counted at the end.
	It("are accepted only in order, once each, from their own stream, and with a matching count", func() {
		order := sequence.StartingAt(0)
		take := func(ch engine.Chunk) error { _, err := checkChunk("s.1", &order, ch); return err }
		Expect(take(engine.Chunk{ID: "s.1", Seq: 0, Text: "a"})).To(Succeed())
		Expect(take(engine.Chunk{ID: "other.1", Seq: 1, Text: "b"})).To(MatchError(errWrongStream))
		Expect(take(engine.Chunk{ID: "s.1", Seq: 0, Text: "a"})).To(Succeed())
		Expect(order.Expected()).To(Equal(int64(1)))
		Expect(take(engine.Chunk{ID: "s.1", Seq: 2, Text: "c"})).To(MatchError(errMissingChunks))
		Expect(take(engine.Chunk{ID: "s.1", End: true, Count: 3})).To(MatchError(errMissingChunks))
		Expect(take(engine.Chunk{ID: "s.1", Seq: 1, Text: "b"})).To(Succeed())
		Expect(take(engine.Chunk{ID: "s.1", End: true, Count: 2})).To(Succeed())
	})
})

// The elements of a list are counted as they are parsed: a list that seems shorter would pass the bound.
func FuzzCountElements(f *testing.F) {
	f.Add(`[{"a":[1,2]},"x,\"]",3]`)
	f.Add(`["\\",[{}],{"b":",["}]`)
	f.Add(`[1]`)
	f.Fuzz(func(t *testing.T, raw string) {
		var list []json.RawMessage
		if json.Unmarshal([]byte(raw), &list) != nil || len(list) == 0 {
			return
		}
		if n := countElements([]byte(raw)); n != len(list) {
			t.Fatalf("%d elements counted, %d parsed", n, len(list))
		}
	})
}

func FuzzParseCompletion(f *testing.F) {
	f.Add(`{"model":"m","prompt":"x","max_tokens":3}`, false)
	f.Add(`{"model":"m","messages":[{"role":"user","content":"x"}]}`, true)
	f.Add(`{"model":"m","messages":[{"role":"user","content":[{"type":"image"}]}]}`, true)
	f.Fuzz(func(t *testing.T, raw string, chat bool) {
		req, prompt, err := parseCompletion([]byte(raw), chat)
		if err == nil && (req.Model == "" || prompt == "") {
			t.Fatal("accepted a request without model or prompt")
		}
	})
}
