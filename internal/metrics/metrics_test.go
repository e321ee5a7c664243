package metrics

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a refusal that is counted under another reason or not at all.
func TestRefusedCountsItsReasonOnly(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Refused(NoRoute)
	r.Refused(NoRoute)
	r.Refused(HopLimit)
	is.Equal(r.Refusals().Value(NoRoute), int64(2))
	is.Equal(r.Refusals().Value(HopLimit), int64(1))
	is.Equal(r.Refusals().Sum(), int64(3))
	is.Equal(r.Retries().Sum(), int64(0))
}
