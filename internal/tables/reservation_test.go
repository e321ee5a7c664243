package tables

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a VM that cannot find the endpoint of a flow's server after the
// server was removed. Exceptions refer to the server only by its id.
func TestReservationKeepsTheID(t *testing.T) {
	is := is.New(t)
	s := twoServices(t)
	pool, _ := s.Pool("despacho")
	removed := pool.Servers[0]
	route, _ := s.Route("mapas")
	next := mustApply(t, s, testTime, DeleteServer{Pool: "despacho", Name: removed.Name}, DeleteRoute{Name: "mapas"})
	decoded, err := DecodeSnapshot(next.Encode())
	is.NoErr(err)
	ids := make(map[string]uint32)
	for _, r := range decoded.Reservations() {
		ids[r.Owner] = r.ID
	}
	is.Equal(ids["despacho/"+removed.Name], uint32(removed.ID))
	is.Equal(ids["mapas"], uint32(route.ID))
}
