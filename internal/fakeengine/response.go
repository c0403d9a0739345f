package fakeengine

import (
	"encoding/json"
	"strings"
)

// The types below are the parts of the OpenAI API's responses that the stand-in fills in.

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (r *run) newResponse(object string, c choice) response {
	return response{ID: "chatcmpl-" + r.id, Object: object, Created: r.created, Model: r.model, Choices: []choice{c}}
}

func (r *run) usage(cached int) *usage {
	prompt := r.chain.Tokens()
	return &usage{PromptTokens: prompt, CompletionTokens: r.tokens, TotalTokens: prompt + r.tokens, PromptDetails: promptDetails{CachedTokens: cached}}
}

// chunk returns the i-th event of the stream.
func (r *run) chunk(i, cached int) []byte {
	word := Word(r.prompt, i)
	c := choice{}
	if i == r.tokens-1 {
		c.FinishReason = finishReason()
	}
	object := "text_completion"
	if r.chat {
		object = "chat.completion.chunk"
		c.Delta = &message{Content: word}
		if i == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &word
	}
	body := r.newResponse(object, c)
	if i == r.tokens-1 {
		body.Usage = r.usage(cached)
	}
	return encode(body)
}

// fullResponse returns the response to a request without streaming.
func (r *run) fullResponse(cached int) []byte {
	var text strings.Builder
	for i := range r.tokens {
		text.WriteString(Word(r.prompt, i))
	}
	c := choice{FinishReason: finishReason()}
	object := "text_completion"
	if r.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text.String()}
	} else {
		whole := text.String()
		c.Text = &whole
	}
	body := r.newResponse(object, c)
	body.Usage = r.usage(cached)
	return encode(body)
}

func finishReason() *string {
	reason := "stop"
	return &reason
}

func encode(body response) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		return []byte("{}")
	}
	return data
}
