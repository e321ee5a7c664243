package soak

// Regression is a seed that once failed, and the cause of its failure.
type Regression struct {
	Seed  uint64
	Cause string
}

const (
	lateCopies    = "stand-in servers accepted late copies of all packets of a flow, sent by a daemon after a freeze, as a new flow"
	flappingStore = "the store became unavailable again right after registrations expired: the servers were retired without another look at the store, and the pools were empty"
	staleOpening  = "a daemon forwarded opening packets that were queued in its socket during a freeze to a second server"
)

// Regressions lists all seeds that ever failed with the default number of zones and
// daemons.
var Regressions = []Regression{
	{101, lateCopies},
	{104, "daemons that started while the registrations were expired refused flows for lack of servers"},
	{108, lateCopies},
	{201, staleOpening},
	{215, staleOpening},
	{216, "opening packets that were queued for a second in the socket of a daemon without a directory reached a second server"},
	{225, staleOpening},
	{227, staleOpening},
	{238, staleOpening},
	{240, staleOpening},
	{406, flappingStore},
	{418, flappingStore},
}
