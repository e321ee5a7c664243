// Package flow keeps the flows that this daemon owns: the server of each flow, its
// state, and when it expires.
package flow

import (
	"hash/maphash"
	"math/bits"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/tables"
)

// Errors of Open and Rebind.
var (
	// ErrFull: the table holds its maximum number of flows.
	ErrFull = errors.New("flow table is full")
	// ErrReverseConflict: the caller already has a flow to the same server endpoint, so
	// the responses could not be told apart.
	ErrReverseConflict = errors.New("caller already has a flow to this server")
	// ErrExists: the flow is already in the table.
	ErrExists = errors.New("flow already exists")
)

const (
	minShards = 64
	// flowsPerShard is the target for the maximum number of flows per shard. It limits
	// the time for which iterating over a whole shard holds the shard's lock.
	flowsPerShard = 8192
)

// Table holds the flows of one daemon, divided into shards by slot. The shard of a
// packet is locked while the packet is handled; different shards are independent.
type Table struct {
	epoch     time.Time
	seed      maphash.Seed
	shards    []Shard
	addresses *interner[tables.Address]
	endpoints *interner[netip.AddrPort]
	max       int64
	count     atomic.Int64

	expireMu sync.Mutex
	expireAt int // shard at which the next Expire continues
}

// NewTable returns an empty table for at most maxFlows flows. The hash buckets are
// allocated in their final number, so that no packet waits for them to grow.
func NewTable(maxFlows int) *Table {
	n := max(minShards, powerOfTwo(maxFlows/flowsPerShard))
	t := &Table{
		epoch:     time.Now(),
		seed:      maphash.MakeSeed(),
		shards:    make([]Shard, n),
		addresses: newInterner[tables.Address](),
		endpoints: newInterner[netip.AddrPort](),
		max:       int64(maxFlows),
	}
	buckets := max(16, powerOfTwo(maxFlows/n))
	for i := range t.shards {
		t.shards[i].init(t, buckets)
	}
	return t
}

// powerOfTwo returns the smallest power of two that is at least n.
func powerOfTwo(n int) int { return 1 << bits.Len(uint(max(n, 1)-1)) }

// Shard returns the shard of a slot.
func (t *Table) Shard(slot uint32) *Shard {
	return &t.shards[slot&uint32(len(t.shards)-1)]
}

// Shards returns the number of shards, for iterating with ShardAt.
func (t *Table) Shards() int { return len(t.shards) }

// ShardAt returns shard i, where 0 <= i < Shards().
func (t *Table) ShardAt(i int) *Shard { return &t.shards[i] }

// Len returns the number of flows.
func (t *Table) Len() int { return int(t.count.Load()) }

// Max returns the maximum number of flows.
func (t *Table) Max() int { return int(t.max) }

// reserve counts one more flow and returns true, or returns false if the table is
// full.
func (t *Table) reserve() bool {
	if t.count.Add(1) > t.max {
		t.count.Add(-1)
		return false
	}
	return true
}

func (t *Table) millis(now time.Time) millis {
	return millis(now.Sub(t.epoch).Milliseconds())
}

// hash is seeded per table, so that callers cannot choose ports whose flows collide
// in one bucket.
func (t *Table) hash(caller netip.AddrPort, p tables.Protocol, endpoint netip.AddrPort) uint64 {
	var key [keyLen]byte
	putKey(&key, caller, p, endpoint)
	return maphash.Bytes(t.seed, key[:])
}
