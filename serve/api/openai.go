package api

import (
	"encoding/json"
	"strings"

	"github.com/auburnmoor/auburnmoor/result"
)

// completionRequest holds the supported fields of an OpenAI request; other fields
// are ignored.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
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
	if json.Unmarshal(r.Prompt, &many) == nil && len(many) == 1 {
		return many[0], nil
	}
	return "", result.New(result.BadRequest, "prompt must be one string")
}

func chatText(messages []chatMessage) (string, error) {
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
	if err := json.Unmarshal(m.Content, &parts); err != nil {
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
