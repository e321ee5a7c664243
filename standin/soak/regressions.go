package soak

// Regression is a seed that has failed.
type Regression struct {
	Seed  uint64
	Cause string
}

const (
	lateCopies    = "stand-in servers took late copies of a whole flow, sent by a daemon after a freeze, for a new flow"
	flappingStore = "a store that went away again right after a lapse left the pools empty: servers were retired unseen"
	staleOpening  = "a daemon forwarded opening packets that had waited in its socket during a freeze to a second server"
)

// Regressions are all seeds that have ever failed, with the standard sizes.
var Regressions = []Regression{
	{101, lateCopies},
	{104, "daemons that started while registrations had lapsed refused flows for lack of servers"},
	{108, lateCopies},
	{201, staleOpening},
	{215, staleOpening},
	{216, "opening packets that had waited in the socket of a daemon without a directory for a second reached a second server"},
	{225, staleOpening},
	{227, staleOpening},
	{238, staleOpening},
	{240, staleOpening},
	{406, flappingStore},
	{418, flappingStore},
}
