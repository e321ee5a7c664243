package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against opening packets that are forwarded seconds late after a freeze: a
// copy of each has been served through another daemon, and the answer of a second
// server moves the caller's cookie (soak seeds 201, 215, 225, 227, 238 and 240).
func TestBacklogAfterAPause(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, tickFirst := range map[string]bool{"reader runs first": false, "upkeep runs first": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPauses(start)
			b := &backlog{pauses: p}
			now := start.Add(staleAfter)
			waited, paused := b.read(now)
			is.True(!waited && !paused)
			is.True(b.deadline(now).IsZero())

			now = now.Add(3 * time.Second)
			if tickFirst {
				p.tick(now)
			}
			waited, paused = b.read(now)
			is.True(waited && paused)
			waited, paused = b.read(now.Add(time.Millisecond)) // the next one in the socket
			is.True(waited && !paused)
			is.Equal(b.deadline(now), now.Add(backlogQuiet))
			b.empty()
			waited, _ = b.read(now.Add(5 * time.Millisecond))
			is.True(!waited)
		})
	}
	t.Run("nothing has waited", func(t *testing.T) {
		is := is.New(t)
		b := &backlog{pauses: newPauses(start)}
		resumed := start.Add(3 * time.Second)
		b.pauses.tick(resumed)
		b.pauses.tick(resumed.Add(backlogLongest))
		waited, paused := b.read(resumed.Add(backlogLongest))
		is.True(!waited && !paused)
	})
	t.Run("busy daemon", func(t *testing.T) {
		is := is.New(t)
		b := &backlog{pauses: newPauses(start)}
		b.begin(start)
		waited, _ := b.read(start.Add(backlogLongest - time.Millisecond))
		is.True(waited)
		waited, _ = b.read(start.Add(backlogLongest))
		is.True(!waited)
	})
}
