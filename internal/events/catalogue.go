package events

import "go.uber.org/zap/zapcore"

const (
	infoLevel  = zapcore.InfoLevel
	warnLevel  = zapcore.WarnLevel
	errorLevel = zapcore.ErrorLevel

	// flowLinesPerSecond and serverLinesPerSecond limit events that traffic or other
	// writers of the store cause, about a flow and about a server. One line takes about 10 µs and
	// 300 bytes.
	flowLinesPerSecond   = 200
	serverLinesPerSecond = 20
	// listingLinesPerSecond limits an event of each listing of the store.
	listingLinesPerSecond = 10
)

// Events of the daemon's life cycle, 100 to 199.
var (
	DaemonStarted  = Event{Number: 100, Level: infoLevel, Message: "daemon started", Action: "none"}
	DaemonLeaving  = Event{Number: 101, Level: infoLevel, Message: "daemon leaving", Action: "none"}
	DaemonStopped  = Event{Number: 102, Level: infoLevel, Message: "daemon stopped", Action: "none"}
	DaemonPaused   = Event{Number: 103, Level: warnLevel, Message: "daemon was paused and is no longer eligible to open flows", Action: "look for CPU starvation or a paused VM"}
	DaemonEligible = Event{Number: 104, Level: infoLevel, Message: "daemon is eligible to open flows", Action: "none"}
	DaemonFailed   = Event{Number: 105, Level: errorLevel, Message: "part of the daemon failed", Action: "read the error; restart the daemon"}
	LinesDropped   = Event{Number: 106, Level: warnLevel, Message: "log lines dropped", Action: "check what reads the log"}
	Reloaded       = Event{Number: 107, Level: infoLevel, Message: "settings reloaded", Action: "restart the daemon to apply the settings listed in the field restart"}
	ReloadRefused  = Event{Number: 108, Level: warnLevel, Message: "settings not reloaded", Action: "fix the settings file"}
	Ready          = Event{Number: 109, Level: infoLevel, Message: "daemon ready", Action: "none"}
	BacklogDropped = Event{Number: 110, Level: warnLevel, Message: "opening packets that waited too long are dropped", Action: "look for CPU starvation or a paused VM"}
)

// Events of membership and links, 200 to 299.
var (
	MemberJoined     = Event{Number: 200, Level: infoLevel, Message: "member joined", Action: "none"}
	MemberLeaving    = Event{Number: 201, Level: infoLevel, Message: "member leaving", Action: "none"}
	MemberSuspected  = Event{Number: 202, Level: warnLevel, Message: "member suspected", Action: "none, unless it repeats for one VM"}
	MemberDied       = Event{Number: 203, Level: warnLevel, Message: "member declared dead", Action: "replace the VM"}
	SuspicionRefuted = Event{Number: 204, Level: infoLevel, Message: "suspicion of this daemon refuted", Action: "look for CPU starvation if it repeats"}
	LinkOpened       = Event{Number: 210, Level: infoLevel, Message: "link opened", Action: "none"}
	LinkLost         = Event{Number: 211, Level: warnLevel, Message: "link lost", Action: "check the network between the zones if it repeats"}
	PeerRefused      = Event{Number: 212, Level: warnLevel, Message: "peer refused", Action: "check the keys and the region of that VM"}
)

// Events of the tables and the store, 300 to 399.
var (
	TablesApplied     = Event{Number: 300, Level: infoLevel, Message: "tables applied", Action: "none"}
	TablesRegressed   = Event{Number: 301, Level: errorLevel, Message: "store returned an older table version", Action: "the store was restored from a backup; run knapweedshorectl recover --above N"}
	TablesInvalid     = Event{Number: 302, Level: errorLevel, Message: "tables refused", Action: "another tool has written to the tables' keys"}
	TablesUnconfirmed = Event{Number: 303, Level: warnLevel, Message: "tables not confirmed to be the newest", Action: "check the store and the zone's network"}
	FetchFailed       = Event{Number: 304, Level: warnLevel, Message: "tables not fetched from a peer", Action: "none, unless it repeats for one peer"}
	StoreDown         = Event{Number: 310, Level: warnLevel, Message: "store call failed", Action: "check the platform store"}
	StoreRecovered    = Event{Number: 311, Level: infoLevel, Message: "store answers again", Action: "none"}

	DirectoryApplied  = Event{Number: 320, Level: infoLevel, Message: "directory applied", Action: "none"}
	ItemRefused       = Event{Number: 321, Level: warnLevel, Message: "store item refused", Action: "find the writer of the item", PerSecond: serverLinesPerSecond}
	StoreWatchChanged = Event{Number: 322, Level: infoLevel, Message: "store watch started or stopped", Action: "none"}
	DirectoryFromPeer = Event{Number: 324, Level: infoLevel, Message: "directory fetched from a peer at startup", Action: "none"}
	StoreRestored     = Event{Number: 326, Level: warnLevel, Message: "store was restored from a backup", Action: "check that the operators' last changes are in the store"}
	ZoneEvacuated     = Event{Number: 327, Level: infoLevel, Message: "zone evacuated", Action: "none", PerSecond: serverLinesPerSecond}
	ZoneReturned      = Event{Number: 328, Level: infoLevel, Message: "evacuation of a zone ended", Action: "none", PerSecond: serverLinesPerSecond}
	StoreListed       = Event{Number: 325, Level: infoLevel, Message: "store listed", Action: "none", PerSecond: listingLinesPerSecond}

	RegistrationFailed = Event{Number: 323, Level: warnLevel, Message: "registration in the store failed", Action: "check the platform store"}
)

// Events of flows and servers, 400 to 499.
var (
	ServerEjected    = Event{Number: 400, Level: warnLevel, Message: "backend server ejected", Action: "check the server"}
	ServerReinstated = Event{Number: 401, Level: infoLevel, Message: "backend server reinstated", Action: "none"}
	EjectionRefused  = Event{Number: 402, Level: warnLevel, Message: "ejection refused: half of the pool is ejected", Action: "check the pool or the network to it"}
	SilentFlow       = Event{Number: 403, Level: warnLevel, Message: "flow is silent: the caller sends but the server does not answer", Action: "check the server"}
	FlowTableFull    = Event{Number: 410, Level: errorLevel, Message: "flow table is full", Action: "add VMs or raise max_flows"}
	NewFlowLimited   = Event{Number: 411, Level: warnLevel, Message: "new-flow rate limit reached", Action: "add VMs or raise new_flows_per_second"}
	BackupChanged    = Event{Number: 420, Level: infoLevel, Message: "backup for exceptions changed", Action: "none"}

	FlowPlaced      = Event{Number: 430, Level: infoLevel, Message: "flow placed", Action: "none", PerSecond: flowLinesPerSecond}
	FlowRefused     = Event{Number: 431, Level: infoLevel, Message: "flow refused", Action: "see the field reason", PerSecond: flowLinesPerSecond}
	FlowUnanswered  = Event{Number: 432, Level: infoLevel, Message: "flow ended without an answer", Action: "look for events 433 of the server", PerSecond: flowLinesPerSecond}
	ServerSuspected = Event{Number: 433, Level: warnLevel, Message: "server does not accept flows", Action: "check the server if it repeats", PerSecond: serverLinesPerSecond}
	ServerRecovered = Event{Number: 434, Level: infoLevel, Message: "server accepts flows again", Action: "none", PerSecond: serverLinesPerSecond}
	ZoneUnreachable = Event{Number: 435, Level: warnLevel, Message: "zone is not reachable", Action: "check the network between the zones"}
	ZoneReachable   = Event{Number: 436, Level: infoLevel, Message: "zone is reachable again", Action: "none"}
	PaceStarted     = Event{Number: 444, Level: infoLevel, Message: "server is paced", Action: "none", PerSecond: serverLinesPerSecond}
	PaceEnded       = Event{Number: 445, Level: infoLevel, Message: "server is no longer paced", Action: "none", PerSecond: serverLinesPerSecond}
	FlowNotAdmitted = Event{Number: 470, Level: infoLevel, Message: "flow refused: too little room in its pool", Action: "add servers if it lasts", PerSecond: flowLinesPerSecond}
	CookieCorrected = Event{Number: 437, Level: infoLevel, Message: "second server that accepted a flow was told the cookie of the flow's server", Action: "none", PerSecond: flowLinesPerSecond}

	ServerGone      = Event{Number: 450, Level: warnLevel, Message: "server counts as gone", Action: "none; if the server lives, see the field reason", PerSecond: serverLinesPerSecond}
	ServerBack      = Event{Number: 451, Level: warnLevel, Message: "server no longer counts as gone", Action: "find out why the server was silent", PerSecond: serverLinesPerSecond}
	FlowReset       = Event{Number: 452, Level: infoLevel, Message: "open flow of a server that is gone was reset", Action: "none", PerSecond: flowLinesPerSecond}
	VerdictWithheld = Event{Number: 453, Level: warnLevel, Message: "too many servers of a pool are silent to judge one of them", Action: "check the network to the pool", PerSecond: serverLinesPerSecond}
	ServerFails     = Event{Number: 460, Level: warnLevel, Message: "server fails requests while it accepts flows", Action: "check the server", PerSecond: serverLinesPerSecond}
	ServerServes    = Event{Number: 461, Level: infoLevel, Message: "server takes its usual flows again after failures", Action: "none", PerSecond: serverLinesPerSecond}
)

// All returns every event, ordered by number.
func All() []Event {
	return []Event{
		DaemonStarted, DaemonLeaving, DaemonStopped, DaemonPaused, DaemonEligible, DaemonFailed,
		LinesDropped, Reloaded, ReloadRefused, Ready, BacklogDropped,
		MemberJoined, MemberLeaving, MemberSuspected, MemberDied, SuspicionRefuted, LinkOpened, LinkLost, PeerRefused,
		TablesApplied, TablesRegressed, TablesInvalid, TablesUnconfirmed, FetchFailed, StoreDown, StoreRecovered,
		DirectoryApplied, ItemRefused, StoreWatchChanged, RegistrationFailed, DirectoryFromPeer, StoreListed, StoreRestored, ZoneEvacuated, ZoneReturned,
		ServerEjected, ServerReinstated, EjectionRefused, SilentFlow, FlowTableFull, NewFlowLimited, BackupChanged,
		FlowPlaced, FlowRefused, FlowUnanswered, ServerSuspected, ServerRecovered, ZoneUnreachable, ZoneReachable, CookieCorrected,
		PaceStarted, PaceEnded,
		ServerGone, ServerBack, FlowReset, VerdictWithheld,
		ServerFails, ServerServes,
		FlowNotAdmitted,
	}
}
