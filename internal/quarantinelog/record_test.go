package quarantinelog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/quarantine"
)

func recordOf(crashes ...quarantine.CrashRecord) quarantine.RequestRecord {
	return quarantine.RequestRecord{Request: requestOf(1), Caller: 7, Crashes: crashes}
}

// The time that passes while a record lies in the log must count, and a clock that is behind must not make
// crashes lie in the future.
func TestAgesOfARecordStandStill(t *testing.T) {
	written := time.UnixMilli(1_000_000)
	tests := []struct {
		name   string
		readAt time.Time
		age    time.Duration
	}{
		{"at once", written, time.Minute},
		{"an hour later", written.Add(time.Hour), 61 * time.Minute},
		{"by a clock that is behind", written.Add(-time.Hour), time.Minute},
		{"years later", written.Add(30_000 * time.Hour), maxAge + time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			value, err := encode(recordOf(quarantine.CrashRecord{Incarnation: 3, Age: time.Minute, Excused: true}), written)
			g.Expect(err).NotTo(HaveOccurred())
			of, record, err := decode(keyOf(partKind, requestOf(1)), value, test.readAt)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(of).To(Equal(partKind))
			g.Expect(record).To(Equal(recordOf(quarantine.CrashRecord{Incarnation: 3, Age: test.age, Excused: true})))
		})
	}
}

func TestInvalidRecordsAreMerged(t *testing.T) {
	valid, err := encode(recordOf(), time.Now())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	future, err := encode(recordOf(quarantine.CrashRecord{Incarnation: 3, Age: -time.Minute}), time.Now())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ancient, err := encode(recordOf(quarantine.CrashRecord{Incarnation: 3, Age: maxAge + 1}), time.Now())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	key := keyOf(requestKind, requestOf(1))
	tests := []struct {
		name, key string
		value     []byte
	}{
		{"an unknown kind", "session" + key[len(requestKind):], valid},
		{"a short key", key[:len(key)-2], valid},
		{"a key that is not hexadecimal", key[:len(key)-2] + "xx", valid},
		{"no value", key, nil},
		{"another value", key, []byte("?")},
		{"a crash in the future", key, future},
		{"an age that overflows", key, ancient},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := decode(test.key, test.value, time.Now())
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// Two boxes may have the crashes of a record in different orders and at different ages. Their records must not
// replace each other again and again.
func TestARecordOfTheSameCrashesIsWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	first := quarantine.CrashRecord{Incarnation: 3, Age: time.Minute}
	second := quarantine.CrashRecord{Incarnation: 5, Age: time.Second}
	excused := quarantine.CrashRecord{Incarnation: 5, Age: time.Second, Excused: true}
	older := quarantine.CrashRecord{Incarnation: 3, Age: time.Hour}
	g.Expect(signature(recordOf(first, second))).To(Equal(signature(recordOf(second, older))))
	g.Expect(signature(recordOf(first, second))).NotTo(Equal(signature(recordOf(first, excused))))
	g.Expect(signature(recordOf(first, second))).NotTo(Equal(signature(recordOf(first))))
}

// Whatever the log has must not end the process, and must not be held for longer than a request is.
func FuzzDecode(f *testing.F) {
	key := keyOf(requestKind, requestOf(1))
	value, err := encode(recordOf(quarantine.CrashRecord{Incarnation: 3, Age: time.Minute}), time.Now())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(key, value)
	f.Add(keyOf(partKind, requestOf(2)), []byte{0x80})
	extended, err := msgpack.Marshal(map[string]any{"m": 1, "c": 2, "r": []any{}, "new": 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(key, extended)
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		of, record, err := decode(key, value, time.Now())
		if err != nil {
			return
		}
		for _, crash := range record.Crashes {
			if crash.Age < 0 || crash.Age > 2*maxAge {
				t.Errorf("%s of age %v", of, crash.Age)
			}
		}
		set := quarantine.New(quarantine.Config{})
		set.MergeRecorded([]quarantine.RequestRecord{record})
		set.Held()
	})
}
