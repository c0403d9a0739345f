package e2e

import (
	"crypto/tls"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/settings"
	"github.com/cometlock/cometlock/internal/testcerts"
	"github.com/cometlock/cometlock/internal/testfleet"
)

var _ = Describe("TLS", func() {
	It("between entry boxes admits only boxes with a certificate of the authority", func() {
		authority, otherAuthority := testcerts.New(Default), testcerts.New(Default)
		good := settings.TLSFiles(authority.Write(Default, GinkgoT().TempDir(), 1))
		bad := settings.TLSFiles(otherAuthority.Write(Default, GinkgoT().TempDir(), 2))
		files := good
		fleet := start(testfleet.Config{
			Zones:        []string{"zone-a", "zone-a"},
			EditSettings: func(s *settings.Settings) { s.PeerTLS = files },
		})
		trustedBox, err := fleet.AddBoxWithoutLog("zone-a")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return trustedBox.State().Ready }, "20s", "10ms").Should(BeTrue(), "it gets its configuration from peers")
		files = bad
		untrustedBox, err := fleet.AddBoxWithoutLog("zone-a")
		Expect(err).NotTo(HaveOccurred())
		Consistently(func() bool { return untrustedBox.State().Ready }, "2s", "50ms").Should(BeFalse())
		Expect(untrustedBox.State().Peers.Peers).To(BeEmpty())
	})

	It("serves requests of callers", func() {
		authority := testcerts.New(Default)
		written := authority.Write(Default, GinkgoT().TempDir(), 1)
		fleet, err := testfleet.Start(testfleet.Config{
			Zones: []string{"zone-a"},
			EditSettings: func(s *settings.Settings) {
				s.CallerTLS = settings.TLSFiles{Certificate: written.Certificate, Key: written.Key}
			},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(fleet.Close)
		eventuallyReady(fleet.Box(0))
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: authority.Pool()}}}
		request, err := http.NewRequest(http.MethodPost, "https://"+fleet.Box(0).CallerAddress()+completions, strings.NewReader(chat("Hello", 2, false)))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+testfleet.KeyNordlys)
		response, err := client.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		plain, err := http.Get("http://" + fleet.Box(0).CallerAddress() + "/v1/models")
		if err == nil {
			Expect(plain.Body.Close()).To(Succeed())
			Expect(plain.StatusCode).To(Equal(http.StatusBadRequest))
		}
	})
})
