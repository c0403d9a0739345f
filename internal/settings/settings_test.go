package settings_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/settings"
)

func TestFlagsTakePrecedenceOverTheEnvironment(t *testing.T) {
	g := NewWithT(t)
	env := map[string]string{
		"COMETLOCK_ZONE": "from-env", "COMETLOCK_LOG": "127.0.0.1:1", "COMETLOCK_DRAIN_DELAY": "7s",
		"COMETLOCK_FORWARD": "127.0.0.1:7", "COMETLOCK_ANSWER_KEYS": "00112233445566778899aabbccddeeff,ffeeddccbbaa99887766554433221100", "COMETLOCK_SEEDS": "127.0.0.1:5, 127.0.0.1:6",
	}
	got, err := settings.Parse([]string{"--zone", "from-flag", "--box", "b"}, func(name string) string { return env[name] })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Zone).To(Equal("from-flag"))
	g.Expect(got.Log).To(Equal("127.0.0.1:1"))
	g.Expect(got.Forward).To(Equal("127.0.0.1:7"))
	g.Expect(got.DrainDelay).To(Equal(7 * time.Second))
	g.Expect(got.AnswerKeys).To(HaveLen(2))
	g.Expect(got.Seeds).To(Equal([]string{"127.0.0.1:5", "127.0.0.1:6"}))
	g.Expect(got.LogRetention).To(Equal(24 * time.Hour))
}

func TestAnInvalidSettingIsOneClearError(t *testing.T) {
	cases := []struct {
		name string
		args []string
		want string
	}{
		{"no zone", []string{"--log", "127.0.0.1:1"}, "--zone (COMETLOCK_ZONE): must be set"},
		{"no log", []string{"--zone", "a"}, `--log (COMETLOCK_LOG): "" is not an IP address with a port`},
		{"a host name", []string{"--zone", "a", "--log", "log:1"}, `--log (COMETLOCK_LOG): "log:1" is not an IP address with a port`},
		{"a forward address that other boxes cannot use", []string{"--zone", "a", "--log", "127.0.0.1:1", "--forward", "0.0.0.0:7"}, `--forward (COMETLOCK_FORWARD): "0.0.0.0:7" is not an address at which other boxes can reach this one`},
		{"a duration without a unit", []string{"--zone", "a", "--log", "127.0.0.1:1", "--drain-delay", "5"}, `--drain-delay (COMETLOCK_DRAIN_DELAY): "5" is not a duration such as 1m30s`},
		{"an invalid key", []string{"--zone", "a", "--log", "127.0.0.1:1", "--answer-keys", "secret"}, "--answer-keys (COMETLOCK_ANSWER_KEYS): key 1 is not hexadecimal"},
		{"incomplete TLS files", []string{"--zone", "a", "--log", "127.0.0.1:1", "--peer-tls-cert", "x"}, "--peer-tls-cert, --peer-tls-key and --peer-tls-ca go together"},
		{"a log retention that is too short", []string{"--zone", "a", "--log", "127.0.0.1:1", "--log-retention", "1h"}, "--log-retention (COMETLOCK_LOG_RETENTION): must be at least 4h0m0s, is 1h0m0s"},
		{"a ring capacity of zero", []string{"--zone", "a", "--log", "127.0.0.1:1", "--ring-capacity", "0"}, `--ring-capacity (COMETLOCK_RING_CAPACITY): "0" is not a number above 0`},
		{"a negative memory", []string{"--zone", "a", "--log", "127.0.0.1:1", "--memory-mb", "-1"}, `--memory-mb (COMETLOCK_MEMORY_MB): "-1" is not a number of 0 or more`},
		{"an operators' key instead of its hash", []string{"--zone", "a", "--log", "127.0.0.1:1", "--operator-key-hash", "secret"}, "--operator-key-hash (COMETLOCK_OPERATOR_KEY_HASH): is not a SHA-256 in hexadecimal"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse(c.args, func(string) string { return "" })
			NewWithT(t).Expect(err).To(MatchError(c.want))
		})
	}
}
