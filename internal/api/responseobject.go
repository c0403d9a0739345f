package api

import (
	"encoding/json"
	"time"

	"github.com/cometlock/cometlock/internal/review"
)

// response is the response object of the OpenAI protocol. The field cometlock is
// an extension: it tells how the deadline stands.
type response struct {
	ID        string          `json:"id"`
	Object    string          `json:"object"`
	CreatedAt int64           `json:"created_at"`
	Status    review.Status   `json:"status"`
	Back      bool            `json:"background"`
	Model     string          `json:"model"`
	Output    []outputMessage `json:"output"`
	Error     *responseError  `json:"error"`
	Metadata  json.RawMessage `json:"metadata,omitempty"`
	Usage     *responseUsage  `json:"usage,omitempty"`
	Deadline  *deadlineState  `json:"cometlock,omitempty"`
}

type outputMessage struct {
	Type    string       `json:"type"`
	ID      string       `json:"id"`
	Role    string       `json:"role"`
	Status  string       `json:"status"`
	Content []outputText `json:"content"`
}

type outputText struct {
	Type        string   `json:"type"`
	Text        string   `json:"text"`
	Annotations []string `json:"annotations"`
}

type responseError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

type responseUsage struct {
	InputTokens  int `json:"input_tokens"`
	OutputTokens int `json:"output_tokens"`
	TotalTokens  int `json:"total_tokens"`
}

// deadlineState tells how the deadline stands.
type deadlineState struct {
	Deadline time.Time `json:"deadline"`
	// AtRisk says that the deadline will probably be missed, Missed that it was.
	AtRisk bool `json:"deadline_at_risk"`
	Missed bool `json:"deadline_missed"`
}

// completion is the part of an engine's answer that a response is made of.
type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	} `json:"usage"`
}

// newResponse describes a review, with its answer once it is completed.
func newResponse(known review.Review, answer []byte) response {
	described := response{
		ID: known.Meta.ID, Object: "response", CreatedAt: known.Meta.AcceptedAt.Unix(), Status: known.Status, Back: true,
		Model: known.Meta.Model, Output: []outputMessage{}, Metadata: known.Meta.Metadata,
	}
	if !known.Meta.Deadline.IsZero() {
		described.Deadline = &deadlineState{Deadline: known.Meta.Deadline, AtRisk: known.AtRisk, Missed: known.Missed}
	}
	if known.Status == review.StatusFailed {
		described.Error = &responseError{Code: "server_error", Message: known.Meta.Reason}
	}
	if answer != nil {
		described.fill(answer)
	}
	return described
}

// fill adds the engine's answer. An answer that reads as none stays empty; the
// relay has checked that it is JSON.
func (r *response) fill(answer []byte) {
	var parsed completion
	if json.Unmarshal(answer, &parsed) != nil {
		return
	}
	for _, choice := range parsed.Choices {
		r.Output = append(r.Output, newOutput(r.ID, choice.Message.Content))
	}
	r.Usage = &responseUsage{
		InputTokens: parsed.Usage.PromptTokens, OutputTokens: parsed.Usage.CompletionTokens, TotalTokens: parsed.Usage.TotalTokens,
	}
}

func newOutput(id, text string) outputMessage {
	return outputMessage{
		Type: "message", ID: "msg_" + id, Role: "assistant", Status: "completed",
		Content: []outputText{{Type: "output_text", Text: text, Annotations: []string{}}},
	}
}
