package registry

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/evacuation"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// lengthDecoder decodes the length of a value as the version of the configuration.
type lengthDecoder struct{}

func (lengthDecoder) Declaration(record sharedlog.Record) (*Declaration, error) {
	c, err := catalog.New(catalog.Config{Version: int64(len(record.Value))})
	return &Declaration{Catalog: c}, err
}

func (lengthDecoder) Rank(sharedlog.Stream, sharedlog.Record) (Rank, bool) { return Rank{}, false }

func (lengthDecoder) Evacuation(sharedlog.Record) (evacuation.Change, bool) {
	return evacuation.Change{}, false
}

func (lengthDecoder) Server(record sharedlog.Record) (fleet.Update, error) {
	return fleet.Update{Key: record.Key, Offset: record.Offset, Server: &fleet.Server{Incarnation: record.Key}}, nil
}

// Another box's snapshot may arrive at the same moment as the log's records.
func TestAdoptNeverReplacesLogRecords(t *testing.T) {
	g := NewWithT(t)
	for range 3000 {
		versions := []int64{}
		f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
		r := New(Config{Decoder: lengthDecoder{}, Fleet: f, Logger: zerolog.Nop(), OnCatalog: func(c *catalog.Catalog) { versions = append(versions, c.Version()) }})
		var both sync.WaitGroup
		both.Go(func() {
			r.apply(sharedlog.Operator, []sharedlog.Record{{Key: "config", Value: []byte("vvvv"), Offset: 9}}, batch{next: 10, full: true})
			r.apply(sharedlog.Servers, nil, batch{next: 10, full: true})
		})
		both.Go(func() {
			r.Adopt(Snapshot{
				Operator: []sharedlog.Record{{Key: "config", Value: []byte("vv"), Offset: 4}},
				Servers:  []sharedlog.Record{{Key: "s", Value: []byte("ready"), Offset: 2}},
			})
		})
		both.Wait()
		g.Expect(r.Catalog().Version()).To(BeEquivalentTo(4))
		g.Expect(versions[len(versions)-1]).To(BeEquivalentTo(4))
		g.Expect(f.CountListed()).To(BeZero(), "the log does not list the server")
		g.Expect(r.Snapshot("").Operator[0].Offset).To(BeEquivalentTo(9))
	}
}

// A snapshot adds no servers to those that were read from the log, even while the configuration is
// still missing.
func TestAdoptKeepsServersReadFromLog(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
	r := New(Config{Decoder: lengthDecoder{}, Fleet: f, Logger: zerolog.Nop()})
	r.apply(sharedlog.Servers, nil, batch{next: 1, full: true})
	r.Adopt(Snapshot{
		Operator: []sharedlog.Record{{Key: "config", Value: []byte("vv"), Offset: 4}},
		Servers:  []sharedlog.Record{{Key: "gone", Value: []byte("ready"), Offset: 2}},
	})
	g.Expect(r.Catalog().Version()).To(BeEquivalentTo(2))
	g.Expect(f.CountListed()).To(BeZero())
}
