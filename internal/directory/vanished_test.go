package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against taking a server's address from it without a later start, and against counting a
// server that a restored store has lost as vanished before it could register again.
func TestVanishedServersAndTheirSuccessors(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	old, next, unknown := testServer("old", 1, 1), testServer("next", 2, 2), testServer("unknown", 3, 3)
	old.Started, next.Started = 10, 20
	d := applyAndBuild(t, b, epoch, Change{Server: old}, Change{Server: next}, Change{Server: unknown})
	is.Equal(d.Successor(old).Name, "next")
	is.True(d.Successor(next) == nil)
	is.True(d.Successor(unknown) == nil) // it does not state its start
	is.Equal(d.PoolSize("p"), 3)
	is.Equal(len(d.Vanished()), 0)

	d = applyAndBuild(t, b, epoch, Change{Deleted: "old", Lost: true}, Change{Deleted: "next"})
	is.Equal(names(d.Vanished()), []string{"next"})
	is.True(d.Successor(old) == nil) // the registration of its successor has vanished
	d = applyAndBuild(t, b, epoch.Add(5*time.Second))
	is.Equal(len(d.Vanished()), 2)
	is.Equal(d.PoolSize("p"), 1)
}
