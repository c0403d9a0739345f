package e2e

import (
	"crypto/tls"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakeservice"
	"github.com/cometlock/cometlock/internal/settings"
	"github.com/cometlock/cometlock/internal/testcerts"
	"github.com/cometlock/cometlock/internal/testfleet"
)

// sendForwarded sends a call to the port for forwarded calls, as another box does.
func sendForwarded(box *testfleet.Box, scheme string, client *http.Client) (status int, body string, err error) {
	request, err := http.NewRequest(http.MethodGet, scheme+"://"+box.ForwardAddress()+"/desk/1", nil)
	if err != nil {
		return 0, "", err
	}
	request.Host = "booking.example"
	request.Header.Set("Authorization", "Bearer "+testfleet.KeyNordlys)
	request.Header.Set("Cometlock-Request-Id", "req_of-another-box")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

var _ = Describe("The port for forwarded calls", func() {
	It("is closed unless it is set", func() {
		fleet := start(testfleet.Config{})
		Expect(fleet.Box(0).ForwardAddress()).To(BeEmpty())
	})

	It("completes its calls when a box stops gracefully", func() {
		fleet := start(testfleet.Config{EditSettings: func(s *settings.Settings) { s.Forward = "127.0.0.1:0" }})
		fleet.StandIns().Service("booking-zone-a-1").SetFaults(fakeservice.Faults{Delay: 300 * time.Millisecond})
		ended := make(chan int)
		go func() {
			defer GinkgoRecover()
			status, _, err := sendForwarded(fleet.Box(0), "http", http.DefaultClient)
			Expect(err).NotTo(HaveOccurred())
			ended <- status
		}()
		Eventually(func() int64 { return fleet.Box(0).State().RoutedInFlight }, "20s", "5ms").Should(BeEquivalentTo(1))
		fleet.Box(0).Stop()
		Expect(<-ended).To(Equal(http.StatusOK))
		Expect(fleet.Box(0).Wait()).To(Succeed())
		_, _, err := sendForwarded(fleet.Box(0), "http", http.DefaultClient)
		Expect(err).To(HaveOccurred())
	})

	It("admits only boxes with a certificate of the authority", func() {
		authority := testcerts.New(Default)
		files := settings.TLSFiles(authority.Write(Default, GinkgoT().TempDir(), 1))
		fleet := start(testfleet.Config{EditSettings: func(s *settings.Settings) { s.Forward, s.PeerTLS = "127.0.0.1:0", files }})
		send := func(certificates ...tls.Certificate) (int, string, error) {
			transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{Certificates: certificates, InsecureSkipVerify: true}}
			return sendForwarded(fleet.Box(0), "https", &http.Client{Transport: transport})
		}
		certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		Expect(err).NotTo(HaveOccurred())
		status, body, err := send(certificate)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK), body)

		foreign := settings.TLSFiles(testcerts.New(Default).Write(Default, GinkgoT().TempDir(), 2))
		other, err := tls.LoadX509KeyPair(foreign.Certificate, foreign.Key)
		Expect(err).NotTo(HaveOccurred())
		for _, certificates := range [][]tls.Certificate{nil, {other}} {
			_, _, err = send(certificates...)
			Expect(err).To(HaveOccurred())
		}
		status, _, err = sendForwarded(fleet.Box(0), "http", http.DefaultClient)
		if err == nil {
			Expect(status).To(Equal(http.StatusBadRequest))
		}
	})
})
