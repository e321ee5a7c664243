package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/pause"
)

// Guards against forwarding opening packets seconds late after the process was
// frozen. Another daemon has forwarded a retransmission of each, and the answer of a
// second server would change the caller's cookie (soak seeds 201, 215, 225, 227, 238
// and 240).
func TestBacklogAfterAPause(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, tickFirst := range map[string]bool{"reader runs first": false, "upkeep runs first": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := pause.NewMonitor(start, staleAfter)
			b := &backlog{pauses: p}
			now := start.Add(staleAfter)
			waited, paused := b.read(now)
			is.True(!waited && !paused)
			is.True(b.deadline(now).IsZero())

			now = now.Add(3 * time.Second)
			if tickFirst {
				p.Tick(now)
			}
			waited, paused = b.read(now)
			is.True(waited && paused)
			waited, paused = b.read(now.Add(time.Millisecond)) // the next packet in the socket
			is.True(waited && !paused)
			is.Equal(b.deadline(now), now.Add(backlogIdleTime))
			b.markEmpty()
			waited, _ = b.read(now.Add(5 * time.Millisecond))
			is.True(!waited)
		})
	}
	t.Run("nothing has waited", func(t *testing.T) {
		is := is.New(t)
		b := &backlog{pauses: pause.NewMonitor(start, staleAfter)}
		resumed := start.Add(3 * time.Second)
		b.pauses.Tick(resumed)
		b.pauses.Tick(resumed.Add(maxBacklogTime))
		waited, paused := b.read(resumed.Add(maxBacklogTime))
		is.True(!waited && !paused)
	})
	t.Run("busy daemon", func(t *testing.T) {
		is := is.New(t)
		b := &backlog{pauses: pause.NewMonitor(start, staleAfter)}
		b.start(start)
		waited, _ := b.read(start.Add(maxBacklogTime - time.Millisecond))
		is.True(waited)
		waited, _ = b.read(start.Add(maxBacklogTime))
		is.True(!waited)
	})
}
