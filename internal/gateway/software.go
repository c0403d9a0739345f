// Streams continue at the software version that began them: what servers of two versions write for one
// stream does not fit together.

package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/streamorigin"
)

// reasonUnknownVersion is the reason for refusing to resume a stream that may have begun at any of several
// software versions.
const reasonUnknownVersion = "stream_version_unknown"

// originMargin is how long after the deadline of its first request a caller may resume a stream.
const originMargin = 10 * time.Second

// isBoundToVersion reports whether only some servers of the call's service may serve it, because of their
// software version.
func (g *Gateway) isBoundToVersion(x *exchange) bool {
	return x.software != nil && len(g.cfg.Fleet.SoftwareVersions(x.service.Name)) > 1
}

// requiredSoftware returns the software version that must serve the call; nil if any may. A new stream goes to the
// preferred version, if there is one. The query is that for any version.
func (g *Gateway) requiredSoftware(x *exchange, query fleet.Query) *string {
	if x.software != nil || !g.recordsOrigin(x) {
		return x.software
	}
	return g.preferredSoftware(x, query)
}

// minShareOfServers is the part of its share of the new streams that a version must have of the servers. Where it has
// less, its servers may be too few to serve all these streams.
const minShareOfServers = 0.5

// preferredSoftware returns the software version that should serve a new stream while origins cannot be recorded. It
// returns nil if any version may, or if this one has few of the servers that may take the call, and none with capacity.
// The query is that for any version.
func (g *Gateway) preferredSoftware(x *exchange, query fleet.Query) *string {
	preferred, share, found := g.cfg.Origins.PreferredVersion(query.Service, x.streamHash())
	if !found || g.cfg.Fleet.ShareOfServers(query, preferred) < minShareOfServers*share && !g.hasCapacityAt(x, preferred) {
		return nil
	}
	return &preferred
}

// findSoftware finds the software version that must serve a stream which its caller resumes, and refuses
// the call if it cannot be found. For a forwarded call the other box has done so. The service that began the stream
// continues it if the route still names that service; otherwise another one does, at the same version.
func (g *Gateway) findSoftware(x *exchange) bool {
	if g.cfg.Origins == nil || x.forwarded || x.route.Kind != catalog.Stream || x.info.ResumeAfter == "" {
		return true
	}
	evidence := g.findEvidence(x)
	listAge := time.Duration(0)
	if g.cfg.ServerListAge != nil {
		listAge = g.cfg.ServerListAge()
	}
	if evidence.Found && evidence.Service != x.service.Name && x.route.HasService(evidence.Service) {
		x.service = x.catalog.Service(evidence.Service)
		x.parts = x.partFingerprints() // fingerprints differ between services
	}
	software, known := streamorigin.Decide(evidence, listAge)
	g.logOrigin(x, evidence, known)
	if !known {
		return g.refuse(x, reasonUnknownVersion, retryAfterBusy)
	}
	x.software = &software
	return true
}

// findEvidence returns what is known of the origin of the stream that the caller resumes.
func (g *Gateway) findEvidence(x *exchange) (evidence streamorigin.Evidence) {
	if x.info.Resumes == "" {
		evidence = g.cfg.Origins.FindUnnamed(x.ctx, x.service.Name)
	} else {
		key, alias := x.originKeys(x.info.Resumes)
		evidence = g.cfg.Origins.FindByAlias(x.ctx, key, alias, x.service.Name)
	}
	evidence.Stream = x.streamHash()
	evidence.Patience = max(x.routeTimeout(), x.info.MaxWait)
	evidence.MaxAge = evidence.Patience + originMargin
	return evidence
}

func (g *Gateway) logOrigin(x *exchange, evidence streamorigin.Evidence, known bool) {
	g.metrics.scope.Tagged(map[string]string{"found": strconv.FormatBool(evidence.Found), "resumed": strconv.FormatBool(known)}).Counter("streams_resumed").Inc(1)
	g.cfg.Logger.Info().Str("request", x.info.RequestID).Str("resumes", x.info.Resumes).Bool("found", evidence.Found).
		Str("service", x.service.Name).Str("origin_service", evidence.Service).Str("software", evidence.Software).
		Strs("versions", evidence.Versions).Int("asked", evidence.Asked).Int("responded", evidence.Responded).Int("ended", evidence.Ended).
		Dur("longest_uptime", evidence.LongestUptime).Bool("log_read", evidence.LogRead).
		Bool("has_base", evidence.Base != nil).Str("base", evidence.BaseVersion()).Bool("resumed", known).Msg("stream_origin")
}

// announceSoftware announces the software version of the attempt's server, so that it is recorded while the server reads
// the prompt, and the first event need not wait for that. For a forwarded call the other box chooses the server later.
func (a *attempt) announceSoftware() {
	x, g := a.x, a.gateway
	if a.peer() == nil && g.recordsOrigin(x) && x.info.ResumeAfter == "" {
		key, origin := g.originOf(x, a.chosen.hold.Server().Software)
		g.cfg.Origins.Announce(x.ctx, &x.announcement, key, origin)
	}
}

// noteOrigin records which software version begins the call's stream, before the caller has its first event. It may
// wait until the record is in the log. It returns false if the record failed and the stream should start over at a
// server of the preferred version, whose streams need no record, or of one that has a record.
func (g *Gateway) noteOrigin(x *exchange) (mayBegin bool) {
	if !g.recordsOrigin(x) || x.software == nil {
		return true
	}
	key, origin := g.originOf(x, *x.software)
	if x.info.ResumeAfter == "" && !g.cfg.Origins.AwaitAnnounced(x.ctx, &x.announcement, key, origin) {
		isCancelled := x.ctx.Err() != nil
		if !isCancelled && !g.mayBeginUnrecorded(x, origin.Software) {
			return false
		}
	}
	g.cfg.Origins.Begin(&x.announcement, key, origin)
	return true
}

// mayBeginUnrecorded reports whether a stream may begin at a software version without a record: no server of another
// version, which needs none or has one, takes it. Otherwise it sets where the stream begins.
func (g *Gateway) mayBeginUnrecorded(x *exchange, software string) (mayBegin bool) {
	if announced, found := x.announcement.Contradicting(software); found && g.mayBeginElsewhere(x, announced) {
		x.beginAt = &announced
	} else {
		x.beginAt = nil
		preferred := g.preferredSoftware(x, g.anyVersionQuery(x))
		mayBegin = preferred == nil || *preferred == software || !g.mayBeginElsewhere(x, *preferred)
	}
	g.metrics.scope.Counter("streams_not_recorded").Inc(1)
	g.cfg.Logger.Info().Str("request", x.info.RequestID).Str("software", software).Bool("begins", mayBegin).Msg("stream_not_recorded")
	return mayBegin
}

// mayBeginElsewhere reports whether a stream may start over at a software version: the route and the retry budget allow
// a further server, and one of that version has capacity.
func (g *Gateway) mayBeginElsewhere(x *exchange, software string) bool {
	if x.serversReached >= x.maxServers() || g.retryBudget(x).State().Balance < 1 {
		return false
	}
	return g.hasCapacityAt(x, software)
}

// hasCapacityAt reports whether a server of a software version may take the call now.
func (g *Gateway) hasCapacityAt(x *exchange, software string) bool {
	query := g.anyVersionQuery(x)
	query.Software = &software
	if query.Model != "" {
		g.addPromptQuery(x, &query)
	}
	shortage := g.cfg.Fleet.Shortage(query)
	return shortage.Usable > max(shortage.WithoutSlot, shortage.WithoutTime, shortage.WithoutMemory)
}

// recordsOrigin reports whether this box records the origin of the call's stream: the stream can be resumed, and it has
// an ID by which it is found again.
func (g *Gateway) recordsOrigin(x *exchange) bool {
	return g.cfg.Origins != nil && !x.forwarded && x.route.Kind == catalog.Stream && x.route.Resumable && x.streamID() != ""
}

// originOf returns the key and the origin of the call's stream if a software version begins it.
func (g *Gateway) originOf(x *exchange, software string) (streamorigin.Key, streamorigin.Origin) {
	expires := x.deadline
	if waits := x.arrived.Add(x.info.MaxWait); waits.After(expires) {
		expires = waits
	}
	key, alias := x.originKeys(x.streamID())
	return key, streamorigin.Origin{Service: x.service.Name, Software: software, Stream: x.streamHash(), Expires: expires.Add(originMargin), Alias: alias}
}

// streamID returns the request that brought the first event of the call's stream; empty if it is unknown.
func (x *exchange) streamID() string {
	if x.info.ResumeAfter != "" {
		return x.info.Resumes
	}
	return x.info.RequestID
}

// streamHash returns the hash by which the base version of the call's stream is chosen.
func (x *exchange) streamHash() uint64 { return baseversion.HashOf(x.streamID()) }

// originKeys returns the key of a stream by its organisation, and its alias by the caller's API key. While the stream is
// in flight the caller may be given another API key of its organisation, and a configuration may move the API key to
// another organisation.
func (x *exchange) originKeys(requestID string) (key, alias streamorigin.Key) {
	if x.info.Key != "" {
		alias = streamorigin.KeyOf(apiKeyPrefix+x.info.Key, requestID)
	}
	return streamorigin.KeyOf(x.callerName(), requestID), alias
}

// apiKeyPrefix distinguishes an API key from the name of an organisation.
const apiKeyPrefix = "API key "

// completeOrigin records that the caller has the whole stream.
func (g *Gateway) completeOrigin(x *exchange) {
	if g.cfg.Origins != nil && !x.forwarded && x.outcome == outcomeServed && x.eventsSent > 0 {
		key, _ := x.originKeys(x.streamID())
		g.cfg.Origins.Complete(key)
	}
}

// software returns the software version of the attempt's server; nil if another box has not stated which
// version serves the call.
func (a *attempt) software() *string {
	if a.peer() != nil {
		return a.peerSoftware
	}
	version := a.chosen.hold.Server().Software
	return &version
}

// readForwardSoftware returns the software version in the headers between boxes, if there is one.
func readForwardSoftware(header http.Header) *string {
	values := header.Values(headerForwardSoftware)
	if len(values) == 0 {
		return nil
	}
	return &values[0]
}

// setForwardSoftware states the software version that serves the call to the other box.
func (x *exchange) setForwardSoftware() {
	if x.forwarded && x.software != nil {
		x.writer.Header().Set(headerForwardSoftware, *x.software)
	}
}
