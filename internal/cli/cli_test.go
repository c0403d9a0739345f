package cli_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/cli"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/settings"
	"github.com/cometlock/cometlock/internal/testcerts"
	"github.com/cometlock/cometlock/internal/testfleet"
)

type result struct {
	code     int
	out, err string
}

func run(env map[string]string, args ...string) result {
	var out, errOut bytes.Buffer
	code := cli.Main(args, func(name string) string { return env[name] }, &out, &errOut)
	return result{code: code, out: out.String(), err: errOut.String()}
}

// startFleet starts two boxes and returns the environment variables with which the tool finds them.
func startFleet(t *testing.T) (*testfleet.Fleet, map[string]string) {
	g := NewWithT(t)
	fleet, err := testfleet.Start(testfleet.Config{Zones: []string{"zone-a", "zone-b"}})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(fleet.Close)
	for i := range 2 {
		g.Eventually(func() bool { return fleet.Box(i).State().Ready }, "20s", "5ms").Should(BeTrue())
	}
	env := map[string]string{"COMETLOCK_LOG": fleet.StandIns().LogAddress(), "COMETLOCK_BOX_LIST": fleet.StandIns().BoxListAddress()}
	g.Eventually(func() string { return run(env, "status").out }, "20s", "20ms").Should(And(ContainSubstring("box-1"), ContainSubstring("box-2")))
	return fleet, env
}

// changedFile writes a copy of the sample file in which the first occurrence of from is replaced by to,
// and returns its path.
func changedFile(t *testing.T, from, to string) string {
	g := NewWithT(t)
	source, err := os.ReadFile("../../examples/local.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	name := filepath.Join(t.TempDir(), "file.yaml")
	g.Expect(os.WriteFile(name, []byte(strings.Replace(string(source), from, to, 1)), 0o600)).To(Succeed())
	return name
}

func TestUsageAndFileErrors(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	NewWithT(t).Expect(os.WriteFile(bad, []byte("deployment: x\nzonez: []\n"), 0o600)).To(Succeed())
	cases := []struct {
		name string
		args []string
		code int
		err  string
	}{
		{"no command", nil, cli.ExitUsage, "a command is needed"},
		{"no log address", []string{"plan", "../../examples/local.yaml"}, cli.ExitUsage, "--log"},
		{"no box list", []string{"status"}, cli.ExitUsage, "--box-list"},
		{"unknown output format", []string{"-o", "xml", "status"}, cli.ExitUsage, "text or json"},
		{"file does not exist", []string{"validate", "nowhere.yaml"}, cli.ExitFailed, "nowhere.yaml"},
		{"invalid file", []string{"validate", bad}, cli.ExitInvalid, `line 2: unknown key "zonez"`},
		{"log is unreachable", []string{"plan", "../../examples/local.yaml", "--log", "127.0.0.1:1"}, cli.ExitFailed, "log service is not reachable"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got := run(nil, c.args...)
			g.Expect(got.code).To(Equal(c.code), got.err)
			g.Expect(got.err).To(ContainSubstring(c.err))
		})
	}
}

func TestFleetOperations(t *testing.T) {
	g := NewWithT(t)
	fleet, env := startFleet(t)
	file := changedFile(t, "share: 2", "share: 3")

	plan := run(env, "plan", file, "-o", "json")
	g.Expect(plan.code).To(Equal(cli.ExitOK), plan.err)
	g.Expect(plan.out).To(ContainSubstring(`"organisations/lot-central"`))

	applied := run(env, "apply", "--wait", file)
	g.Expect(applied.code).To(Equal(cli.ExitOK), applied.err)
	g.Expect(applied.out).To(And(ContainSubstring("accepted as version 1"), ContainSubstring("in force on 2 of 2 boxes")))
	g.Expect(applied.err).To(ContainSubstring("in force on"), "progress is written to standard error")

	g.Expect(run(env, "apply", file).out).To(ContainSubstring("nothing to change"))
	conflict := run(env, "apply", "../../examples/local.yaml", "--base", "0")
	g.Expect(conflict.code).To(Equal(cli.ExitConflict))
	g.Expect(conflict.err).To(ContainSubstring("version 1 is in force"))

	var status []struct {
		Box    string
		Config struct{ Version int64 }
	}
	g.Expect(json.Unmarshal([]byte(run(env, "status", "-o", "json").out), &status)).To(Succeed())
	g.Expect(status).To(HaveLen(2))
	g.Expect(status[0].Config.Version).To(Equal(int64(1)))

	dump := run(env, "dump", "box-1")
	g.Expect(dump.code).To(Equal(cli.ExitOK))
	g.Expect(dump.out).To(ContainSubstring(`"known_zone"`))
	for _, secret := range []string{testfleet.KeyNordlys, testfleet.KeyLot, "30313233343536373839"} {
		g.Expect(dump.out).NotTo(ContainSubstring(secret))
	}
	g.Expect(run(env, "dump", "box-9").code).To(Equal(cli.ExitFailed))

	review := testfleet.Call{Path: "/v1/responses", Body: `{"model":"scene-review","background":true,"max_output_tokens":100000,"input":"brief"}`}
	_, err := fleet.Box(0).Do(review)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(run(env, "requests").out).To(HavePrefix("ID"))

	g.Expect(run(env, "drain", "box-2").out).To(Equal("box-2 is draining\n"))
	g.Expect(fleet.Box(1).Wait()).To(Succeed())
}

func TestZoneEvacuation(t *testing.T) {
	g := NewWithT(t)
	_, env := startFleet(t)
	file := changedFile(t, "{name: zone-a, region: local}", "{name: zone-a, region: local, evacuated: true}")
	g.Expect(run(env, "plan", file).out).To(ContainSubstring("zones/zone-a"))
	applied := run(env, "apply", "--wait", file)
	g.Expect(applied.code).To(Equal(cli.ExitOK), applied.err)
	g.Expect(run(env, "status").out).To(ContainSubstring("evacuated zones: zone-a"))
	g.Expect(run(env, "apply", "--wait", "../../examples/local.yaml").code).To(Equal(cli.ExitOK))
	g.Expect(run(env, "status").out).NotTo(ContainSubstring("evacuated"))
}

func TestApplyWithLostResponseIsReadBack(t *testing.T) {
	g := NewWithT(t)
	fleet, env := startFleet(t)
	fleet.StandIns().Log().SetFaults(fakelog.Faults{LoseResponses: 1})
	got := run(env, "apply", changedFile(t, "share: 2", "share: 5"))
	g.Expect(got.code).To(Equal(cli.ExitOK), got.err)
	g.Expect(got.out).To(ContainSubstring("accepted as version 1"))
}

func TestAdminPortsWithTLSAndKey(t *testing.T) {
	g := NewWithT(t)
	written := testcerts.New(g).Write(g, t.TempDir(), 1)
	sum := sha256.Sum256([]byte("the operators' key"))
	fleet, err := testfleet.Start(testfleet.Config{Zones: []string{"zone-a"}, EditSettings: func(s *settings.Settings) {
		s.CallerTLS = settings.TLSFiles{Certificate: written.Certificate, Key: written.Key}
		s.OperatorKey = hex.EncodeToString(sum[:])
	}})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(fleet.Close)
	env := map[string]string{"COMETLOCK_BOXES": fleet.Box(0).AdminAddress(), "COMETLOCK_OPERATOR_KEY": "the operators' key", "COMETLOCK_TLS_CA": written.Authority}
	g.Expect(run(env, "status").out).To(ContainSubstring("box-1"))
	env["COMETLOCK_OPERATOR_KEY"] = "another"
	g.Expect(run(env, "status").out).To(ContainSubstring("status 401"))
	delete(env, "COMETLOCK_TLS_CA")
	g.Expect(run(env, "status").out).To(ContainSubstring("no answer"))
	g.Expect(run(env, "status", "--tls-ca", "nowhere").code).To(Equal(cli.ExitUsage))
}

func TestCapacityPrintsTheTable(t *testing.T) {
	g := NewWithT(t)
	got := run(nil, "capacity", "--nodes", "8", "--runners", "18")
	g.Expect(got.code).To(Equal(cli.ExitOK), got.err)
	g.Expect(got.out).To(ContainSubstring("one entry box of 8 in 17 zones, before 18 runners"))
}
