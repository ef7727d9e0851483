package api

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/result"
)

// completionRequest holds the supported fields of an OpenAI request; other fields
// are ignored.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// parseCompletion decodes and validates a request body, and returns its prompt text.
func parseCompletion(raw []byte, chat bool) (completionRequest, string, error) {
	var req completionRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return req, "", result.New(result.BadRequest, "body is not a valid request: %v", err)
	}
	if req.Model == "" {
		return req, "", result.New(result.BadRequest, "model is missing")
	}
	if req.MaxCompletionTokens != nil {
		req.MaxTokens = req.MaxCompletionTokens
	}
	if req.MaxTokens != nil && *req.MaxTokens < 1 {
		return req, "", result.New(result.BadRequest, "max_tokens must be at least 1")
	}
	if req.N != nil && *req.N != 1 {
		return req, "", result.New(result.BadRequest, "n must be 1")
	}
	prompt, err := req.promptText(chat)
	if err != nil {
		return req, "", err
	}
	req.Prompt, req.Messages = nil, nil
	if prompt == "" {
		return req, "", result.New(result.BadRequest, "the prompt is empty")
	}
	return req, prompt, nil
}

func (r completionRequest) promptText(chat bool) (string, error) {
	if chat {
		return chatText(r.Messages)
	}
	if len(r.Prompt) == 0 {
		return "", result.New(result.BadRequest, "prompt is missing")
	}
	var one string
	if json.Unmarshal(r.Prompt, &one) == nil {
		return one, nil
	}
	var many []string
	if unmarshalList(r.Prompt, 1, &many) == nil && len(many) == 1 {
		return many[0], nil
	}
	return "", result.New(result.BadRequest, "prompt must be one string")
}

// maxElements is the number of messages, or of parts of a message: each takes more memory than it has bytes.
const maxElements = 16 << 10

var errTooManyElements = errors.New("too many elements")

// unmarshalList parses a list of most elements at most.
func unmarshalList(raw []byte, most int, out any) error {
	if countElements(raw) > most {
		return errTooManyElements
	}
	return json.Unmarshal(raw, out)
}

// countElements returns the number of elements of a valid JSON list, or of members of an object.
func countElements(raw []byte) (n int) {
	depth, inString := 0, false
	for i := 0; i < len(raw); i++ {
		switch b := raw[i]; {
		case inString && b == '\\':
			i++
		case b == '"':
			inString = !inString
		case inString:
		case b == '[' || b == '{':
			depth++
		case b == ']' || b == '}':
			depth--
		case b == ',' && depth == 1:
			n++
		}
	}
	return n + 1
}

func chatText(raw []byte) (string, error) {
	var messages []chatMessage
	if len(raw) > 0 {
		if err := unmarshalList(raw, maxElements, &messages); errors.Is(err, errTooManyElements) {
			return "", result.New(result.BadRequest, "more than %d messages", maxElements)
		} else if err != nil {
			return "", result.New(result.BadRequest, "messages are not valid: %v", err)
		}
	}
	if len(messages) == 0 {
		return "", result.New(result.BadRequest, "messages are missing")
	}
	var b strings.Builder
	for i, m := range messages {
		text, err := m.text()
		if err != nil || m.Role == "" {
			return "", result.New(result.BadRequest, "message %d needs a role and text content", i)
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
	}
	return b.String(), nil
}

func (m chatMessage) text() (string, error) {
	var one string
	if err := json.Unmarshal(m.Content, &one); err == nil {
		return one, nil
	}
	var parts []contentPart
	if err := unmarshalList(m.Content, maxElements, &parts); err != nil {
		return "", err
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type == "text" {
			b.WriteString(p.Text)
		}
	}
	return b.String(), nil
}

// completionAnswer is an OpenAI completion object or stream chunk.
type completionAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int64        `json:"prompt_tokens"`
	CompletionTokens int64        `json:"completion_tokens"`
	TotalTokens      int64        `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}
