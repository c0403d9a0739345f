package api

import (
	"encoding/json"
	"time"

	"github.com/cometlock/cometlock/internal/review"
)

// response is the response object of the OpenAI API. The field cometlock is an extension that holds
// the state of the deadline.
type response struct {
	ID         string          `json:"id"`
	Object     string          `json:"object"`
	CreatedAt  int64           `json:"created_at"`
	Status     review.Status   `json:"status"`
	Background bool            `json:"background"`
	Model      string          `json:"model"`
	Output     []outputMessage `json:"output"`
	Error      *responseError  `json:"error"`
	Metadata   json.RawMessage `json:"metadata,omitempty"`
	Usage      *responseUsage  `json:"usage,omitempty"`
	Deadline   *deadlineState  `json:"cometlock,omitempty"`
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

// deadlineState is the state of a review's deadline.
type deadlineState struct {
	Deadline time.Time `json:"deadline"`
	// AtRisk is set if the deadline will probably be missed, Missed if it was missed.
	AtRisk bool `json:"deadline_at_risk"`
	Missed bool `json:"deadline_missed"`
}

// completion holds the fields of an engine's answer that a response is built from.
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

// newResponse builds the response object of a review; answer is nil unless the review is completed.
func newResponse(current review.Review, answer []byte) response {
	object := response{
		ID: current.Meta.ID, Object: "response", CreatedAt: current.Meta.AcceptedAt.Unix(), Status: current.Status, Background: true,
		Model: current.Meta.Model, Output: []outputMessage{}, Metadata: current.Meta.Metadata,
	}
	if !current.Meta.Deadline.IsZero() {
		object.Deadline = &deadlineState{Deadline: current.Meta.Deadline, AtRisk: current.AtRisk, Missed: current.Missed}
	}
	if current.Status == review.StatusFailed {
		object.Error = &responseError{Code: "server_error", Message: current.Meta.Reason}
	}
	if answer != nil {
		object.fill(answer)
	}
	return object
}

// fill adds the engine's answer. If the answer cannot be parsed as a completion, the output remains
// empty; the relay has already checked that it is valid JSON.
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
