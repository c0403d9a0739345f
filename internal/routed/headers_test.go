package routed

import (
	"net/http"
	"testing"
	"time"

	"github.com/cometlock/cometlock/internal/config"
)

func FuzzReadRequest(f *testing.F) {
	f.Add("1.5", "300", "20", "a:100,b:200")
	f.Add("-1", "x", "9999999999999999999999", ":,")
	f.Add("NaN", "1073741825", "", "a")
	f.Fuzz(func(t *testing.T, deadline, tokens, answer, parts string) {
		header := http.Header{
			"Cometlock-Deadline": {deadline}, "Cometlock-Model": {"m"}, "Cometlock-Prompt-Tokens": {tokens},
			"Cometlock-Answer-Tokens": {answer}, "Cometlock-Prompt-Parts": {parts},
		}
		info := Headers{}.ReadRequest(header)
		if info.Malformed != "" {
			return
		}
		if info.MaxWait < 0 || info.MaxWait > 366*24*time.Hour {
			t.Fatalf("patience is out of range: %v", info.MaxWait)
		}
		total := info.Prompt.Tokens + info.Prompt.AnswerTokens
		for _, part := range info.Prompt.Parts {
			if part.ID == "" || part.Tokens < 0 {
				t.Fatalf("invalid part: %+v", part)
			}
			total += part.Tokens
		}
		if total < 0 || info.Prompt.Tokens < 0 || info.Prompt.AnswerTokens < 0 {
			t.Fatalf("invalid prompt: %+v", info.Prompt)
		}
	})
}

func TestPrioritiesAndRanksMapToEachOther(t *testing.T) {
	for _, priority := range config.Priorities() {
		if got := priorityOf(urgencyOf(priority)); got != priority {
			t.Errorf("%q became %q", priority, got)
		}
	}
	for _, urgency := range []int{-1, 3, 9} {
		if got := priorityOf(urgency); got != config.Priorities()[0] && got != config.PriorityReview {
			t.Errorf("rank %d became %q", urgency, got)
		}
	}
}
