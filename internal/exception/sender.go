package exception

import (
	"context"
	"sync"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/peerapi"
)

// Timing and sizes of the exception traffic.
const (
	// BatchInterval is the time between two batches to the backup. The fixed
	// cost of a batch is about 25 bytes of messages; at 100 ms it took control
	// traffic over 4 KB/s when the budget was used up.
	BatchInterval = 250 * time.Millisecond
	// MinAge keeps short flows off the wire: most short checks end before.
	MinAge = 250 * time.Millisecond
	// callTimeout bounds one call, so that a backup that hangs delays the
	// next batch by no more than the time to detect its death.
	callTimeout = 2 * time.Second
	// paceFactor limits a batch to this multiple of the budget for one
	// interval. A table change or a new backup makes many exceptions at once;
	// they go out over several batches, below the target of 25 KB a second.
	paceFactor = 4
	// minimumBatch is allowed at any budget.
	minimumBatch = 8

	// entryBytes is what one added entry takes on the wire, measured with
	// ids of three bytes; closedBytes what one closed fingerprint takes.
	entryBytes  = 24
	closedBytes = 8
	// lifetimeBytes is what an exception costs from opening to close.
	lifetimeBytes = entryBytes + closedBytes
)

// Peers carries batches to other daemons.
type Peers interface {
	PutExceptions(ctx context.Context, to member.Name, b *peerapi.ExceptionBatch) (*peerapi.ExceptionAck, error)
}

// Sender keeps the exceptions of this daemon and sends them to its backup. It
// is safe for concurrent use.
type Sender struct {
	peers   Peers
	metrics *metrics.Registry
	bucket  *bucket
	perRun  int // entries in one batch

	mu      sync.Mutex
	pending map[uint64]pendingEntry
	sent    map[uint64]Entry
	closed  []uint64
	backup  member.Name
	self    member.Member
	resend  bool
}

type pendingEntry struct {
	entry Entry
	since time.Time
}

// NewSender returns a Sender that spends at most bytesPerSecond on average.
func NewSender(peers Peers, registry *metrics.Registry, bytesPerSecond int, now time.Time) *Sender {
	return &Sender{
		peers:   peers,
		metrics: registry,
		bucket:  newBucket(bytesPerSecond, now),
		perRun:  batchLimit(bytesPerSecond),
		pending: make(map[uint64]pendingEntry),
		sent:    make(map[uint64]Entry),
	}
}

func batchLimit(bytesPerSecond int) int {
	perInterval := float64(bytesPerSecond) * BatchInterval.Seconds()
	return max(int(paceFactor*perInterval)/entryBytes, minimumBatch)
}

// HasBudget reports whether the budget allows one more avoidable exception.
func (s *Sender) HasBudget(now time.Time) bool { return s.bucket.has(lifetimeBytes, now) }

// Add notes an exception. It is sent once it has lasted for MinimumAge.
func (s *Sender) Add(e Entry, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.sent[e.Fingerprint]; ok && old == e {
		return
	}
	if _, ok := s.pending[e.Fingerprint]; !ok {
		s.bucket.take(lifetimeBytes, now)
	}
	s.pending[e.Fingerprint] = pendingEntry{entry: e, since: now}
}

// Close notes that a flow has ended or is on its default server again.
func (s *Sender) Close(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.pending[fingerprint]; ok {
		delete(s.pending, fingerprint)
		s.bucket.give(lifetimeBytes)
	}
	if _, ok := s.sent[fingerprint]; ok {
		delete(s.sent, fingerprint)
		s.closed = append(s.closed, fingerprint)
	}
}

// SetBackup names the member that gets the batches from now on. A new backup
// gets all exceptions; "" stops sending.
func (s *Sender) SetBackup(self member.Member, backup member.Name) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self = self
	if backup == s.backup {
		return false
	}
	s.backup = backup
	s.resend = true
	return true
}

// Run sends batches until ctx ends.
func (s *Sender) Run(ctx context.Context) error {
	ticker := time.NewTicker(BatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.Flush(ctx, now)
		}
	}
}

// Flush sends one batch of what is due.
func (s *Sender) Flush(ctx context.Context, now time.Time) {
	to, batch := s.next(now)
	if batch == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ack, err := s.peers.PutExceptions(ctx, to, batch)
	if err != nil {
		s.failed(to)
		return
	}
	s.metrics.Count(metrics.ExceptionsSent, int64(len(batch.GetAdded())))
	if refused := ack.GetRefused(); refused > 0 {
		s.metrics.Refusals().Add(metrics.ExceptionStale, int64(refused))
	}
}

// next moves due entries from pending to sent and returns them as a batch. A
// failed batch is repaired by a complete resend, so nothing is kept aside.
func (s *Sender) next(now time.Time) (member.Name, *peerapi.ExceptionBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backup == "" {
		return "", nil
	}
	batch := &peerapi.ExceptionBatch{
		Owner:       string(s.self.Name),
		Incarnation: s.self.Incarnation,
		Replace:     s.resend,
	}
	if s.resend {
		s.requeue()
	}
	s.addDue(batch, now)
	batch.Closed, s.closed = s.closed, nil
	if len(batch.Added) == 0 && len(batch.Closed) == 0 && !batch.Replace {
		return "", nil
	}
	return s.backup, batch
}

// requeue makes everything due again, for a backup that has nothing yet.
func (s *Sender) requeue() {
	for fp, e := range s.sent {
		if _, ok := s.pending[fp]; !ok {
			s.pending[fp] = pendingEntry{entry: e}
		}
	}
	clear(s.sent)
	s.closed = nil
	s.resend = false
}

func (s *Sender) addDue(batch *peerapi.ExceptionBatch, now time.Time) {
	for fp, p := range s.pending {
		if len(batch.Added) >= s.perRun {
			return
		}
		if now.Sub(p.since) < MinAge {
			continue
		}
		delete(s.pending, fp)
		s.sent[fp] = p.entry
		batch.Added = append(batch.Added, p.entry.message())
	}
}

func (s *Sender) failed(to member.Name) {
	s.metrics.Retried(metrics.ExceptionResend)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backup == to {
		s.resend = true
	}
}
