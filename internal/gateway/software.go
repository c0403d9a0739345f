// Streams continue at the software version that began them: what servers of two versions write for one
// stream does not fit together.

package gateway

import "net/http"

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
