// Package responsehead checks the heads of responses that net/http has parsed. Its parser accepts some that are not valid.
package responsehead

import (
	"net/http"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"
)

// Errors of Check.
var (
	// ErrVersion means that the version is not HTTP/1.x. net/http takes the framing of such a message for that of HTTP/1.1.
	ErrVersion = merry.Sentinel("the version of the response is invalid")
	// ErrStatus means that the status is below 100. It cannot be passed on: net/http panics at it.
	ErrStatus = merry.Sentinel("the status of the response is invalid")
	// ErrName means that the name of a field is invalid. net/http keeps a name with a blank as it is, so that the field is
	// found under no name; if it is one that ends the body, the body is that of another response.
	ErrName = merry.Sentinel("the name of a field of the response is invalid")
)

// Check returns an error unless the head of a response is valid.
func Check(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return ErrVersion
	}
	if response.StatusCode < http.StatusContinue {
		return ErrStatus
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrName
		}
	}
	return nil
}
