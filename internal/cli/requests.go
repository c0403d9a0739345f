package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"
)

// reviewsState is the part of a state dump that describes the reviews. Each box lists all reviews, since
// all boxes follow the same log.
type reviewsState struct {
	AtRisk  int             `json:"at_risk"`
	Waiting []waitingReview `json:"waiting"`
}

// waitingReview is a queued or running review.
type waitingReview struct {
	ID           string    `json:"id"`
	Organisation string    `json:"organisation"`
	Model        string    `json:"model"`
	Status       string    `json:"status"`
	Accepted     time.Time `json:"accepted"`
	Deadline     time.Time `json:"deadline"`
	AtRisk       bool      `json:"at_risk"`
	Box          string    `json:"box"`
}

// requests lists the queued and running reviews, oldest first.
func (t *tool) requests(ctx context.Context, _ string) error {
	boxes, err := t.findBoxes(ctx)
	if err != nil {
		return err
	}
	byID := map[string]waitingReview{}
	for _, state := range t.fetchStates(ctx, boxes) {
		for _, review := range state.Reviews.Waiting {
			if listed, ok := byID[review.ID]; !ok || listed.Status == "queued" {
				byID[review.ID] = review
			}
		}
	}
	reviews := make([]waitingReview, 0, len(byID))
	for _, review := range byID {
		reviews = append(reviews, review)
	}
	slices.SortFunc(reviews, func(a, b waitingReview) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	if t.json() {
		return t.printJSON(reviews)
	}
	table := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ID\tORGANISATION\tMODEL\tSTATUS\tAGE\tDEADLINE IN\tAT RISK")
	for _, review := range reviews {
		deadline := "none"
		if !review.Deadline.IsZero() {
			deadline = time.Until(review.Deadline).Round(time.Second).String()
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", review.ID, review.Organisation, review.Model, review.Status,
			time.Since(review.Accepted).Round(time.Second), deadline, yesNo(review.AtRisk))
	}
	return table.Flush()
}
