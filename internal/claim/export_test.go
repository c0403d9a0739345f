package claim

import (
	"time"

	"github.com/google/uuid"
)

// KeyAt gives the key that has the random part of another and a time. The uuid
// library never goes back in time, as a paused clock does between tests.
func KeyAt(text string, at time.Time) string {
	id := uuid.MustParse(text)
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	return id.String()
}
