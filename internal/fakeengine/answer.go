package fakeengine

import (
	"encoding/json"
	"strings"
)

// The shapes below are those of the OpenAI protocol, as far as the stand-in
// fills them.

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

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (r *run) answer(object string, c choice) answer {
	return answer{ID: "chatcmpl-" + r.id, Object: object, Created: r.created, Model: r.model, Choices: []choice{c}}
}

func (r *run) usage(cached int) *usage {
	prompt := r.chain.Tokens()
	return &usage{PromptTokens: prompt, CompletionTokens: r.tokens, TotalTokens: prompt + r.tokens, PromptDetails: promptDetails{CachedTokens: cached}}
}

// chunk is the i-th event of the stream.
func (r *run) chunk(i, cached int) []byte {
	word := Word(r.prompt, i)
	c := choice{}
	if i == r.tokens-1 {
		c.FinishReason = finished()
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
	body := r.answer(object, c)
	if i == r.tokens-1 {
		body.Usage = r.usage(cached)
	}
	return encode(body)
}

// wholeAnswer is the answer to a request that is not streamed.
func (r *run) wholeAnswer(cached int) []byte {
	var text strings.Builder
	for i := range r.tokens {
		text.WriteString(Word(r.prompt, i))
	}
	c := choice{FinishReason: finished()}
	object := "text_completion"
	if r.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text.String()}
	} else {
		whole := text.String()
		c.Text = &whole
	}
	body := r.answer(object, c)
	body.Usage = r.usage(cached)
	return encode(body)
}

func finished() *string {
	reason := "stop"
	return &reason
}

func encode(body answer) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		return []byte("{}")
	}
	return data
}
