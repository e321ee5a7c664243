package platform

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against two sites with the same addresses. When networks were drawn at
// random, a test of the entry daemon and a site of entry daemons got the same one, and
// the second could not bind its ports.
func TestNetworksAreClaimedOnce(t *testing.T) {
	is := is.New(t)
	first, err := ClaimNetwork()
	is.NoErr(err)
	second, err := ClaimNetwork()
	is.NoErr(err)
	is.True(first.Addr(1, 1, 1) != second.Addr(1, 1, 1))
	second.Release()
	again, err := ClaimNetwork()
	is.NoErr(err)
	is.Equal(again.Addr(1, 1, 1), second.Addr(1, 1, 1))
	again.Release()
	first.Release()
}
