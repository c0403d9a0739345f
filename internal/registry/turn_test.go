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

// lengths takes the length of a value for the version of the configuration.
type lengths struct{}

func (lengths) Declaration(record sharedlog.Record) (*Declaration, error) {
	made, err := catalog.New(catalog.Config{Version: int64(len(record.Value))})
	return &Declaration{Catalog: made}, err
}

func (lengths) Evacuation(sharedlog.Record) (evacuation.Change, bool) {
	return evacuation.Change{}, false
}

func (lengths) Server(record sharedlog.Record) (fleet.Update, error) {
	return fleet.Update{Key: record.Key, Offset: record.Offset, Server: &fleet.Server{Incarnation: record.Key}}, nil
}

// What another box hands over may come in the same moment as the log's own word.
func TestWhatIsAdoptedNeverReplacesWhatTheLogSaid(t *testing.T) {
	g := NewWithT(t)
	for range 3000 {
		told := []int64{}
		f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
		r := New(Config{Decoder: lengths{}, Fleet: f, Logger: zerolog.Nop(), OnCatalog: func(c *catalog.Catalog) { told = append(told, c.Version()) }})
		var both sync.WaitGroup
		both.Go(func() {
			r.take(sharedlog.Operator, []sharedlog.Record{{Key: "config", Value: []byte("vvvv"), Offset: 9}}, reading{next: 10, whole: true})
			r.take(sharedlog.Servers, nil, reading{next: 10, whole: true})
		})
		both.Go(func() {
			r.Adopt(Snapshot{
				Operator: []sharedlog.Record{{Key: "config", Value: []byte("vv"), Offset: 4}},
				Servers:  []sharedlog.Record{{Key: "s", Value: []byte("ready"), Offset: 2}},
			})
		})
		both.Wait()
		g.Expect(r.Catalog().Version()).To(BeEquivalentTo(4))
		g.Expect(told[len(told)-1]).To(BeEquivalentTo(4))
		g.Expect(f.Known()).To(BeZero(), "the log does not list the server")
		g.Expect(r.Snapshot().Operator[0].Offset).To(BeEquivalentTo(9))
	}
}

// Servers that were read of the log are not added to, also while the configuration is
// still missing.
func TestServersReadOfTheLogStayAsTheyAre(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
	r := New(Config{Decoder: lengths{}, Fleet: f, Logger: zerolog.Nop()})
	r.take(sharedlog.Servers, nil, reading{next: 1, whole: true})
	r.Adopt(Snapshot{
		Operator: []sharedlog.Record{{Key: "config", Value: []byte("vv"), Offset: 4}},
		Servers:  []sharedlog.Record{{Key: "gone", Value: []byte("ready"), Offset: 2}},
	})
	g.Expect(r.Catalog().Version()).To(BeEquivalentTo(2))
	g.Expect(f.Known()).To(BeZero())
}
