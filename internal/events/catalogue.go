package events

import "go.uber.org/zap/zapcore"

const (
	info = zapcore.InfoLevel
	warn = zapcore.WarnLevel
	fail = zapcore.ErrorLevel

	debug = zapcore.DebugLevel
)

// Events of the daemon's life, 100 to 199.
var (
	DaemonStarted = Event{100, info, "daemon started", "none"}
	DaemonLeaving = Event{101, info, "daemon leaving", "none"}
	DaemonStopped = Event{102, info, "daemon stopped", "none"}
	DaemonPaused  = Event{103, warn, "daemon was paused and lost its standing", "look for CPU starvation or a paused VM"}
	StandingBack  = Event{104, info, "standing confirmed by a peer", "none"}
	DaemonFailed  = Event{105, fail, "daemon part failed", "read the error; restart the daemon"}
)

// Events of membership and links, 200 to 299.
var (
	MemberJoined    = Event{200, info, "member joined", "none"}
	MemberLeaving   = Event{201, info, "member leaving", "none"}
	MemberSuspected = Event{202, warn, "member suspected", "none, unless it repeats for one VM"}
	MemberDied      = Event{203, warn, "member declared dead", "replace the VM"}
	MemberRefuted   = Event{204, info, "own suspicion refuted", "look for CPU starvation if it repeats"}
	LinkOpened      = Event{210, info, "link opened", "none"}
	LinkLost        = Event{211, warn, "link lost", "check the network between the zones if it repeats"}
	PeerRefused     = Event{212, warn, "peer refused", "check the keys and the region of that VM"}
)

// Events of the tables and the store, 300 to 399.
var (
	TablesApplied   = Event{300, info, "tables applied", "none"}
	TablesRegressed = Event{301, fail, "store returned an older table version", "the store was restored from a backup; run knapweedshorectl recover --above N"}
	TablesInvalid   = Event{302, fail, "tables refused", "another tool has written to the tables' keys"}
	TablesOld       = Event{303, warn, "tables not confirmed to be newest", "check the store and the zone's network"}
	FetchFailed     = Event{304, warn, "tables not fetched from a peer", "none, unless it repeats for one peer"}
	StoreDown       = Event{310, warn, "store call failed", "check the platform store"}
	StoreBack       = Event{311, info, "store answers again", "none"}

	DirectoryApplied = Event{320, info, "directory applied", "none"}
	ItemRefused      = Event{321, warn, "store item refused", "find the writer of the item"}
	WatchDuty        = Event{322, info, "duty to watch the store has changed", "none"}

	RegistrationFailed = Event{323, warn, "registration in the store failed", "check the platform store"}
)

// Events of flows and servers, 400 to 499.
var (
	ServerEjected    = Event{400, warn, "backend server ejected", "check the server"}
	ServerReinstated = Event{401, info, "backend server reinstated", "none"}
	EjectionFloor    = Event{402, warn, "ejection refused: half of the pool is ejected", "check the pool or the network to it"}
	SilentFlow       = Event{403, warn, "flow is silent: caller sends and no answer comes", "check the server"}
	FlowTableFull    = Event{410, fail, "flow table is full", "add VMs or raise max_flows"}
	NewFlowLimited   = Event{411, warn, "new-flow rate limit reached", "add VMs or raise new_flows_per_second"}
	BackupChanged    = Event{420, info, "backup for exceptions changed", "none"}
	FlowPlaced       = Event{430, debug, "flow placed", "none"}
	FlowRefused      = Event{431, info, "flow refused", "look at the reason"}
)

// All returns every event in the order of its number.
func All() []Event {
	return []Event{
		DaemonStarted, DaemonLeaving, DaemonStopped, DaemonPaused, StandingBack, DaemonFailed,
		MemberJoined, MemberLeaving, MemberSuspected, MemberDied, MemberRefuted, LinkOpened, LinkLost, PeerRefused,
		TablesApplied, TablesRegressed, TablesInvalid, TablesOld, FetchFailed, StoreDown, StoreBack,
		DirectoryApplied, ItemRefused, WatchDuty, RegistrationFailed,
		ServerEjected, ServerReinstated, EjectionFloor, SilentFlow, FlowTableFull, NewFlowLimited, BackupChanged,
		FlowPlaced, FlowRefused,
	}
}
