package claim

import (
	"time"

	"github.com/google/uuid"
)

// KeyAt returns a key with the random part of text and the given creation time. The uuid
// library's clock is monotonic and would not follow the virtual clock when that starts again in
// the next test.
func KeyAt(text string, at time.Time) string {
	id := uuid.MustParse(text)
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	return id.String()
}
