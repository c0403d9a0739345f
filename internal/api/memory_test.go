package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/membudget"
)

// Bodies of known length took the memory that they stated, and others as much as came, whatever calls were in
// progress.
func TestBodiesTakeMoreThanTheMemoryForCalls(t *testing.T) {
	const limit = 1 << 20
	const room = callOverhead + bodyCopies*limit
	tests := []struct {
		name   string
		total  int64 // for calls; new ones get three quarters of it
		held   int64 // by another call
		length int64 // -1 if it is not stated
		status int
	}{
		{"fits", 2 * room, 0, limit, http.StatusOK},
		{"fits, of unknown length", 2 * room, 0, -1, http.StatusOK},
		{"no room beside another call", 2 * room, room, limit, http.StatusServiceUnavailable},
		{"no room beside another call, of unknown length", 2 * room, room, -1, http.StatusServiceUnavailable},
		{"over the limit", 2 * room, room, limit + 1, http.StatusRequestEntityTooLarge},
		{"never fits", room, 0, limit, http.StatusRequestEntityTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			budget := membudget.New(membudget.Limits{Total: test.total, PerOrganisation: test.total, PerCall: test.total})
			other, admitted := budget.Admit("other", test.held)
			g.Expect(admitted).To(BeTrue())
			server := &Server{memory: budget, bodyTimeout: bodyTimeout}
			request := httptest.NewRequest(http.MethodPost, "/", io.LimitReader(neverEnding('x'), limit))
			request.ContentLength = test.length
			status := http.StatusOK
			handler := releaseMemory(func(c echo.Context) error {
				_, refusal := server.readBody(c.Response(), c.Request(), "one", limit)
				if refusal != nil {
					status = refusal.Status
					g.Expect(refusal.Outcome).To(Equal(apierror.NotRun))
				}
				return nil
			})
			g.Expect(handler(echo.New().NewContext(request, httptest.NewRecorder()))).To(Succeed())
			g.Expect(status).To(Equal(test.status))
			other.Close()
			g.Expect(budget.Held()).To(BeZero(), "a call releases its memory")
		})
	}
}

// neverEnding reads as one byte again and again.
type neverEnding byte

func (b neverEnding) Read(p []byte) (int, error) {
	copy(p, bytes.Repeat([]byte{byte(b)}, len(p)))
	return len(p), nil
}

// Millions of short elements were decoded before anything counted them.
func TestElementsAreDecodedWithoutABound(t *testing.T) {
	g := NewWithT(t)
	var object strings.Builder
	for i := range maxFields {
		fmt.Fprintf(&object, `,"%d":0`, i)
	}
	most := object.String()[1:]
	decoded, err := decodeFields([]byte("{" + most + "}"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(HaveLen(maxFields))
	_, err = decodeFields([]byte("{" + most + `,"more":0}`))
	g.Expect(err).To(MatchError(errTooManyElements))
	list := strings.Repeat(",{}", maxElements)[1:]
	messages, err := decodeList[chatMessage]([]byte("[" + list + "]"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(messages).To(HaveLen(maxElements))
	_, err = decodeList[chatMessage]([]byte("[" + list + ",{}]"))
	g.Expect(err).To(MatchError(errTooManyElements))
}

// Objects must be decoded as encoding/json decodes them as a whole, and rejected where it rejects them.
func FuzzDecodeFields(f *testing.F) {
	for _, seed := range []string{`{"a":1,"b":[{}],"a":2}`, `{}`, ` {"a" : null } `, `{"a":1}x`, `{"a":1}{}`, `[]`, `null`, `{"a":}`, `{"a":1,}`, `{`, ``} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		got, err := decodeFields(data)
		var want fields
		wantErr := json.Unmarshal(data, &want)
		if wantErr != nil || want == nil {
			g.Expect(err).To(HaveOccurred())
			return
		}
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveLen(len(want)))
		for name, value := range want {
			g.Expect(string(got[name])).To(Equal(string(value)))
		}
	})
}
