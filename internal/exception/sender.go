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
	// BatchInterval is the time between two batches to the backup. A batch has
	// about 25 bytes of fixed overhead, which at an interval of 100 ms took
	// control traffic over 4 KB/s when the budget was used up.
	BatchInterval = 250 * time.Millisecond
	// MinAge is how long an exception must last before it is sent. Most short
	// flows end earlier, so their exceptions are never sent.
	MinAge = 250 * time.Millisecond
	// callTimeout bounds one call to another daemon. An unresponsive backup
	// delays the next batch by no more than the time to detect its death.
	callTimeout = 2 * time.Second
	// burstFactor limits a batch to this multiple of the budget for one
	// interval. A table change or a new backup makes many exceptions due at
	// once; they are spread over several batches to stay below the target of
	// 25 KB/s for control traffic.
	burstFactor = 4
	// minBatchEntries is the number of entries that a batch may have at any
	// budget.
	minBatchEntries = 8

	// entryBytes is the size of one added entry on the wire, with ids of three
	// bytes. closedBytes is the size of one closed fingerprint.
	entryBytes  = 24
	closedBytes = 8
	// lifetimeBytes is the traffic of one exception, from opening to close.
	lifetimeBytes = entryBytes + closedBytes
)

// Peers sends batches to other daemons.
type Peers interface {
	PutExceptions(ctx context.Context, to member.Name, b *peerapi.ExceptionBatch) (*peerapi.ExceptionAck, error)
}

// Sender collects the exceptions of this daemon and sends them to its backup.
// It is safe for concurrent use.
type Sender struct {
	peers           Peers
	metrics         *metrics.Registry
	bucket          *bucket
	maxBatchEntries int

	mu      sync.Mutex
	pending map[uint64]pendingEntry
	sent    map[uint64]Entry
	closed  []uint64 // fingerprints for the next batch
	backup  member.Name
	self    member.Member
	resend  bool // the next batch replaces all entries that the backup has
}

// pendingEntry is an exception that has not been sent yet.
type pendingEntry struct {
	entry   Entry
	addedAt time.Time
}

// NewSender returns a Sender with an average budget of bytesPerSecond for
// exceptions that can be avoided.
func NewSender(peers Peers, registry *metrics.Registry, bytesPerSecond int, now time.Time) *Sender {
	return &Sender{
		peers:           peers,
		metrics:         registry,
		bucket:          newBucket(bytesPerSecond, now),
		maxBatchEntries: maxBatchEntries(bytesPerSecond),
		pending:         make(map[uint64]pendingEntry),
		sent:            make(map[uint64]Entry),
	}
}

// maxBatchEntries returns how many added entries a batch may have.
func maxBatchEntries(bytesPerSecond int) int {
	perInterval := float64(bytesPerSecond) * BatchInterval.Seconds()
	return max(int(burstFactor*perInterval)/entryBytes, minBatchEntries)
}

// HasBudget reports whether the budget allows another exception that can be
// avoided.
func (s *Sender) HasBudget(now time.Time) bool { return s.bucket.has(lifetimeBytes, now) }

// Add adds an exception, to be sent once it has lasted for MinAge.
func (s *Sender) Add(e Entry, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.sent[e.Fingerprint]; ok && old == e {
		return
	}
	if _, ok := s.pending[e.Fingerprint]; !ok {
		s.bucket.take(lifetimeBytes, now)
	}
	s.pending[e.Fingerprint] = pendingEntry{entry: e, addedAt: now}
}

// Close removes the exception of a flow that has ended or is on its default
// server again.
func (s *Sender) Close(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.pending[fingerprint]; ok {
		delete(s.pending, fingerprint)
		s.bucket.refund(lifetimeBytes)
	}
	if _, ok := s.sent[fingerprint]; ok {
		delete(s.sent, fingerprint)
		s.closed = append(s.closed, fingerprint)
	}
}

// SetBackup sets the member that receives the batches from now on, and reports
// whether it is another one. A new backup receives all exceptions; "" stops
// sending.
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

// Flush sends one batch of due exceptions and closed fingerprints, if there are
// any.
func (s *Sender) Flush(ctx context.Context, now time.Time) {
	to, batch := s.nextBatch(now)
	if batch == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ack, err := s.peers.PutExceptions(ctx, to, batch)
	if err != nil {
		s.handleFailure(to)
		return
	}
	s.metrics.Count(metrics.ExceptionsSent, int64(len(batch.GetAdded())))
	if refused := ack.GetRefused(); refused > 0 {
		s.metrics.Refusals().Add(metrics.ExceptionStale, int64(refused))
	}
}

// nextBatch moves due entries from pending to sent and returns them as a batch
// for the backup, or nil. It keeps no copy of the batch, because after a
// failure all exceptions are sent again.
func (s *Sender) nextBatch(now time.Time) (member.Name, *peerapi.ExceptionBatch) {
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

// requeue makes every sent exception due again, for a backup that has none of
// them. s.mu must be held.
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

// addDue adds due entries to the batch, up to the maximum. s.mu must be held.
func (s *Sender) addDue(batch *peerapi.ExceptionBatch, now time.Time) {
	for fp, p := range s.pending {
		if len(batch.Added) >= s.maxBatchEntries {
			return
		}
		if now.Sub(p.addedAt) < MinAge {
			continue
		}
		delete(s.pending, fp)
		s.sent[fp] = p.entry
		batch.Added = append(batch.Added, p.entry.message())
	}
}

// handleFailure counts a failed call and makes the next batch a complete one.
func (s *Sender) handleFailure(to member.Name) {
	s.metrics.Retried(metrics.ExceptionResend)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backup == to {
		s.resend = true
	}
}
