package fleet

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// 62 boxes that were all killed and restarted with 668 servers wrote 41,292 log lines within a
// second, one for each server that each of them discovered.
func TestManyDiscoveredServersAreOneLogLine(t *testing.T) {
	tests := []struct {
		servers, lines int
		contains       string
	}{
		{maxDiscoveryLogs, maxDiscoveryLogs, `"server_known"`},
		{maxDiscoveryLogs + 1, 1, `"count":21,"offset":21,"message":"servers_known"`},
	}
	for _, test := range tests {
		g := NewWithT(t)
		var logged bytes.Buffer
		f := New(Config{Logger: zerolog.New(&logged)})
		var updates []Update
		for i := range test.servers {
			name := fmt.Sprint("s-", i)
			updates = append(updates, Update{Key: name, Offset: int64(i + 1), Server: &Server{Incarnation: name, Service: "s"}})
		}
		f.Replace(updates)
		g.Expect(bytes.Count(logged.Bytes(), []byte("\n"))).To(Equal(test.lines))
		g.Expect(logged.String()).To(ContainSubstring(test.contains))
	}
}
