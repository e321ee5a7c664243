package soak

// Regression is a seed that once failed, and the cause of its failure.
type Regression struct {
	Seed  uint64
	Cause string
	// Restores is the number of restores of the store in its schedule.
	Restores int
}

const (
	lateCopies    = "stand-in servers accepted late copies of all packets of a flow, sent by a daemon after a freeze, as a new flow"
	flappingStore = "the store became unavailable again right after registrations expired: the servers were retired without another look at the store, and the pools were empty"
	staleOpening  = "a daemon forwarded opening packets that were queued in its socket during a freeze to a second server"
)

// Regressions lists all seeds that ever failed with the default number of zones and
// daemons.
var Regressions = []Regression{
	{Seed: 101, Cause: lateCopies},
	{Seed: 104, Cause: "daemons that started while the registrations were expired refused flows for lack of servers"},
	{Seed: 108, Cause: lateCopies},
	{Seed: 201, Cause: staleOpening},
	{Seed: 215, Cause: staleOpening},
	{Seed: 216, Cause: "opening packets that were queued for a second in the socket of a daemon without a directory reached a second server"},
	{Seed: 225, Cause: staleOpening},
	{Seed: 227, Cause: staleOpening},
	{Seed: 238, Cause: staleOpening},
	{Seed: 240, Cause: staleOpening},
	{Seed: 406, Cause: flappingStore},
	{Seed: 418, Cause: flappingStore},
}
