// Requests of ordinary clients, which tests send beside a crowd.

package crowd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// requestTimeout is far longer than a process takes to respond.
const requestTimeout = time.Minute

var client = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// Get sends a request on a connection of its own and returns an error unless the response is 200.
func Get(url string) error {
	response, err := client.Get(url)
	if err != nil {
		return merry.Wrap(err)
	}
	return expectOK(response)
}

// Send sends the bytes of a whole request to an address and returns an error unless the response is 200.
func Send(address string, request []byte) error {
	connection, err := net.DialTimeout("tcp", address, requestTimeout)
	if err != nil {
		return merry.Wrap(err)
	}
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return merry.Wrap(err)
	}
	if _, err := connection.Write(request); err != nil {
		return merry.Wrap(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return merry.Wrap(err)
	}
	return expectOK(response)
}

func expectOK(response *http.Response) error {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return merry.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return merry.Errorf("status %d: %s", response.StatusCode, body)
	}
	return nil
}
