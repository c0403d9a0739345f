// Package settings reads the daemon's settings from flags and environment variables.
//
// Every setting has both, and the flag takes precedence. All values are validated before anything
// starts. An invalid value results in one clear error that names the setting.
package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"

	"github.com/cometlock/cometlock/internal/claim"
	"github.com/cometlock/cometlock/internal/version"
)

// Settings holds the settings of the daemon.
type Settings struct {
	Box    string
	Zone   string
	Listen string
	Admin  string
	Peer   string
	// Forward is the address for calls that other entry boxes forward, or empty.
	Forward      string
	Log          string
	BoxList      string
	Seeds        []string
	AnswerKeys   [][]byte
	OperatorKey  string
	LogLevel     string
	LogRetention time.Duration
	DrainDelay   time.Duration
	StopTimeout  time.Duration
	RingCapacity int
	Standins     string
	// MemoryMB is the memory that the process may use, in MiB; 0 means that of the machine.
	MemoryMB  int
	PeerTLS   TLSFiles
	CallerTLS TLSFiles
}

// TLSFiles holds the paths of the TLS files for one kind of connection; all are empty without TLS.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string
}

// Enabled reports whether any of the files is set.
func (f TLSFiles) Enabled() bool { return f.Certificate != "" || f.Key != "" || f.Authority != "" }

// envPrefix is the prefix of all environment variables.
const envPrefix = "COMETLOCK_"

// setting is a row of the table of settings.
type setting struct {
	name         string // of the flag; the environment variable has its upper-case form
	defaultValue string // as text
	help         string // includes the unit
	set          func(s *Settings, text string) error
}

func (s setting) variable() string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(s.name, "-", "_"))
}

func table() []setting {
	return []setting{
		{"box", "", "name of this entry box, unique (default: host name and listen port)", text(func(s *Settings) *string { return &s.Box })},
		{"zone", "", "availability zone of this entry box", required(func(s *Settings) *string { return &s.Zone })},
		{"listen", "127.0.0.1:8080", "IP address and port for callers", address(func(s *Settings) *string { return &s.Listen })},
		{"admin", "127.0.0.1:8081", "IP address and port for operators", address(func(s *Settings) *string { return &s.Admin })},
		{"peer", "127.0.0.1:8082", "IP address and port for other entry boxes", address(func(s *Settings) *string { return &s.Peer })},
		{"forward", "", "IP address and port for calls that other entry boxes forward; empty: this box neither takes nor forwards any", setForward},
		{"log", "", "IP address and port of the platform's log service", address(func(s *Settings) *string { return &s.Log })},
		{"box-list", "", "IP address and port of the platform's list of boxes; empty: none", optionalAddress(func(s *Settings) *string { return &s.BoxList })},
		{"seeds", "", "addresses of other entry boxes, separated by commas", setSeeds},
		{"answer-keys", "", "keys that authenticate answer names, in hexadecimal, newest first, separated by commas; the same in all boxes (default: a random one)", setAnswerKeys},
		{"operator-key-hash", "", "SHA-256 of the operators' key in hexadecimal; empty: the admin port asks for none", setOperatorKey},
		{"log-level", "info", "debug, info, warn or error", text(func(s *Settings) *string { return &s.LogLevel })},
		{"log-retention", "24h", "for how long the platform's log keeps records at least (duration)", duration(func(s *Settings) *time.Duration { return &s.LogRetention })},
		{"drain-delay", "2s", "time between turning unready and closing the caller port (duration)", duration(func(s *Settings) *time.Duration { return &s.DrainDelay })},
		{"stop-timeout", "10m", "longest time to finish requests in flight at a stop (duration)", duration(func(s *Settings) *time.Duration { return &s.StopTimeout })},
		{"ring-capacity", "1024", "requests that each ring between two stages holds (number)", setRingCapacity},
		{"memory-mb", "0", "memory that the process may use, in MiB; 0: that of the machine (number)", setMemory},
		{"standins", "", "configuration file whose backend servers, log and box list are started inside this process, for trying out", text(func(s *Settings) *string { return &s.Standins })},
		{"peer-tls-cert", "", "certificate file for connections between entry boxes", text(func(s *Settings) *string { return &s.PeerTLS.Certificate })},
		{"peer-tls-key", "", "key file for connections between entry boxes", text(func(s *Settings) *string { return &s.PeerTLS.Key })},
		{"peer-tls-ca", "", "file of the authority that signs the certificates of entry boxes", text(func(s *Settings) *string { return &s.PeerTLS.Authority })},
		{"caller-tls-cert", "", "certificate file for callers and operators", text(func(s *Settings) *string { return &s.CallerTLS.Certificate })},
		{"caller-tls-key", "", "key file for callers and operators", text(func(s *Settings) *string { return &s.CallerTLS.Key })},
	}
}

// Parse parses the arguments (without the program's name) and the environment.
func Parse(args []string, getenv func(string) string) (Settings, error) {
	rows := table()
	values := make([]string, len(rows))
	parser := flaggy.NewParser("cometlockd")
	parser.Description = "The entry box of cometlock. Flags win over environment variables."
	parser.Version = version.Version
	parser.ShowCompletion = false
	for i, row := range rows {
		values[i] = row.defaultValue
		if value := getenv(row.variable()); value != "" {
			values[i] = value
		}
		parser.String(&values[i], "", row.name, fmt.Sprintf("%s [%s]", row.help, row.variable()))
	}
	if err := parser.ParseArgs(args); err != nil {
		return Settings{}, merry.Prepend(err, "arguments")
	}
	var settings Settings
	for i, row := range rows {
		if err := row.set(&settings, values[i]); err != nil {
			return Settings{}, merry.Errorf("--%s (%s): %s", row.name, row.variable(), err.Error())
		}
	}
	return settings, settings.complete()
}

// minLogRetention is twice the time within which a key can be claimed, so that the first claim of a
// key is still in the log when the last claim within that time is checked.
const minLogRetention = 2 * claim.MaxWindow

// complete sets the defaults that depend on other settings, and validates settings that depend on
// each other.
func (s *Settings) complete() error {
	if s.Box == "" {
		host, err := os.Hostname()
		if err != nil {
			return merry.Prepend(err, "--box is not set and the host has no name")
		}
		_, port, err := net.SplitHostPort(s.Listen)
		if err != nil {
			return merry.Wrap(err)
		}
		s.Box = host + "-" + port
	}
	if s.LogRetention < minLogRetention {
		return merry.Errorf("--log-retention (COMETLOCK_LOG_RETENTION): must be at least %s, is %s", minLogRetention, s.LogRetention)
	}
	if s.PeerTLS.Enabled() && (s.PeerTLS.Certificate == "" || s.PeerTLS.Key == "" || s.PeerTLS.Authority == "") {
		return merry.New("--peer-tls-cert, --peer-tls-key and --peer-tls-ca go together")
	}
	if s.CallerTLS.Enabled() && (s.CallerTLS.Certificate == "" || s.CallerTLS.Key == "") {
		return merry.New("--caller-tls-cert and --caller-tls-key go together")
	}
	return nil
}

type setter = func(s *Settings, value string) error

func text(field func(*Settings) *string) setter {
	return func(s *Settings, value string) error {
		*field(s) = value
		return nil
	}
}

func required(field func(*Settings) *string) setter {
	return func(s *Settings, value string) error {
		if value == "" {
			return merry.New("must be set")
		}
		*field(s) = value
		return nil
	}
}

func address(field func(*Settings) *string) setter {
	return func(s *Settings, value string) error {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return merry.Errorf("%q is not an IP address with a port", value)
		}
		*field(s) = value
		return nil
	}
}

func optionalAddress(field func(*Settings) *string) setter {
	return func(s *Settings, value string) error {
		if value == "" {
			return nil
		}
		return address(field)(s, value)
	}
}

// setForward accepts no unspecified IP address, since other boxes get the address as it is.
func setForward(s *Settings, value string) error {
	if parsed, err := netip.ParseAddrPort(value); err == nil && parsed.Addr().IsUnspecified() {
		return merry.Errorf("%q is not an address at which other boxes can reach this one", value)
	}
	return optionalAddress(func(s *Settings) *string { return &s.Forward })(s, value)
}

func duration(field func(*Settings) *time.Duration) setter {
	return func(s *Settings, value string) error {
		parsed, err := time.ParseDuration(value)
		if err != nil || parsed < 0 {
			return merry.Errorf("%q is not a duration such as 1m30s", value)
		}
		*field(s) = parsed
		return nil
	}
}

func setSeeds(s *Settings, value string) error {
	for _, seed := range splitList(value) {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return merry.Errorf("%q is not an IP address with a port", seed)
		}
		s.Seeds = append(s.Seeds, seed)
	}
	return nil
}

// setAnswerKeys never includes a key in an error.
func setAnswerKeys(s *Settings, value string) error {
	for i, key := range splitList(value) {
		raw, err := hex.DecodeString(key)
		if err != nil {
			return merry.Errorf("key %d is not hexadecimal", i+1)
		}
		s.AnswerKeys = append(s.AnswerKeys, raw)
	}
	return nil
}

func setOperatorKey(s *Settings, value string) error {
	if raw, err := hex.DecodeString(value); value != "" && (err != nil || len(raw) != 32) {
		return merry.New("is not a SHA-256 in hexadecimal")
	}
	s.OperatorKey = value
	return nil
}

func setRingCapacity(s *Settings, value string) error {
	number, err := strconv.Atoi(value)
	if err != nil || number < 1 {
		return merry.Errorf("%q is not a number above 0", value)
	}
	s.RingCapacity = number
	return nil
}

func setMemory(s *Settings, value string) error {
	number, err := strconv.Atoi(value)
	if err != nil || number < 0 {
		return merry.Errorf("%q is not a number of 0 or more", value)
	}
	s.MemoryMB = number
	return nil
}

func splitList(value string) []string {
	return strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' })
}
