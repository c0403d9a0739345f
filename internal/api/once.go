package api

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/claim"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/relay"
)

// claimTimeout bounds the wait for the decision on a claim, which needs an append to the log.
const claimTimeout = 5 * time.Second

// claimedRun is a successful claim. Its owner may run the request once.
type claimedRun struct {
	claims *claim.Service
	key    claim.Key
	id     uuid.UUID
}

// claimOnce claims the idempotency key of a request that must run at most once. It returns the
// successful claim, or the stored answer of the earlier request with the key, or an error. All are nil
// for a request that has no key or is repeatable.
//
// A request without a key needs no claim: this process sends it once, and no other process has it.
func (s *Server) claimOnce(request *flow.Request) (*claimedRun, *claim.StoredResponse, *apierror.Error) {
	if request.Repeatable || request.IdempotencyKey == "" {
		return nil, nil, nil
	}
	if _, err := claim.KeyTime(request.IdempotencyKey); err != nil {
		return nil, nil, apierror.BadRequest("invalid_idempotency_key", "%s is a UUID of version 7", HeaderIdempotency)
	}
	key := claim.Key{Organisation: request.Organisation.Name, Text: request.IdempotencyKey}
	ctx, cancel := context.WithTimeout(request.Context(), claimTimeout)
	defer cancel()
	decision, err := s.claims.Claim(ctx, key, request.Digest)
	if err != nil {
		return nil, nil, claimRefusal(err)
	}
	switch decision.Verdict {
	case claim.Granted:
		return &claimedRun{claims: s.claims, key: key, id: decision.ClaimID}, nil, nil
	case claim.Completed:
		return nil, &decision.Response, nil
	default:
		return nil, nil, verdictRefusal(decision.Verdict)
	}
}

// digestOf returns the digest of a request as the caller sent it.
func digestOf(method, target string, body []byte) claim.Digest {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return claim.Digest(hash.Sum(nil))
}

// claimRefusal returns the error response for a claim that was not decided.
func claimRefusal(err error) *apierror.Error {
	if errors.Is(err, claim.ErrLogGap) {
		return conflict("claim_unknown", apierror.Unknown, "whether an earlier request with this key has run is unknown")
	}
	refusal := apierror.ServiceUnavailable("claim_not_decided", time.Second, "the key could not be claimed; this request was not run")
	switch {
	case errors.Is(err, claim.ErrNotReady):
		refusal.Code = "claims_not_ready"
	case errors.Is(err, claim.ErrLogUnavailable):
		refusal.Code = "log_unavailable"
	case errors.Is(err, claim.ErrQueueFull):
		refusal.Code = "claims_full"
	}
	return refusal
}

func verdictRefusal(verdict claim.Verdict) *apierror.Error {
	switch verdict {
	case claim.KeyReused:
		return conflict("idempotency_key_reused", apierror.NotRun, "the key was used for another request")
	case claim.OutsideWindow:
		return apierror.BadRequest("idempotency_key_age", "the key is too old, or from the future")
	default:
		refusal := conflict("idempotency_key_in_use", apierror.Unknown, "an earlier request with this key has begun and its end is not known")
		refusal.RetryAfter = time.Second
		return refusal
	}
}

func conflict(code string, outcome apierror.Outcome, message string) *apierror.Error {
	return &apierror.Error{Status: http.StatusConflict, Type: apierror.TypeConflict, Code: code, Message: message, Outcome: outcome}
}

// finish records the outcome of the run in the log. It does nothing on a nil claim, or if the outcome
// is unknown.
func (o *claimedRun) finish(failure *apierror.Error, answer claim.StoredResponse) {
	switch {
	case o == nil:
	case failure == nil:
		o.claims.Complete(o.key, o.id, answer)
	case failure.Outcome == apierror.NotRun:
		o.claims.Release(o.key, o.id)
	case failure.Outcome == apierror.Ran:
		o.claims.Complete(o.key, o.id, claim.StoredResponse{})
	}
}

// replay sends the stored answer of an earlier request.
func (s *Server) replay(w http.ResponseWriter, request *flow.Request, answer claim.StoredResponse) {
	if !answer.BodyStored {
		s.refuse(w, request, conflict("answer_not_kept", apierror.Ran, "the request with this key has run; its answer is not kept"))
		return
	}
	w.Header().Set(HeaderReplayed, "true")
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // a caller that has disconnected may retry
	s.settleRun(request, relay.Result{Chunks: 1, FirstChunk: time.Now()})
}

// capturingSink saves a copy of a complete answer for callers that retry.
type capturingSink struct {
	relay.Sink
	enabled  bool
	body     []byte
	complete bool
}

// Write implements relay.Sink.
func (c *capturingSink) Write(chunk engine.Chunk, more bool) error {
	if c.enabled && len(chunk.Data) <= claim.MaxResponseBytes {
		c.body = append(c.body[:0], chunk.Data...)
		c.complete = true
	}
	return c.Sink.Write(chunk, more)
}

func (c *capturingSink) answer() claim.StoredResponse {
	return claim.StoredResponse{Status: http.StatusOK, ContentType: "application/json", Body: c.body, BodyStored: c.complete}
}
