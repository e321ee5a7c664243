package events

import "go.uber.org/zap/zapcore"

const (
	info = zapcore.InfoLevel
	warn = zapcore.WarnLevel
	fail = zapcore.ErrorLevel

	// flowLines and beliefLines bound the lines a second of events that flows
	// cause. One line takes about 10 µs and 300 bytes.
	flowLines   = 200
	beliefLines = 20
)

// Events of the daemon's life, 100 to 199.
var (
	DaemonStarted       = Event{Number: 100, Level: info, Message: "daemon started", Action: "none"}
	DaemonLeaving       = Event{Number: 101, Level: info, Message: "daemon leaving", Action: "none"}
	DaemonStopped       = Event{Number: 102, Level: info, Message: "daemon stopped", Action: "none"}
	DaemonPaused        = Event{Number: 103, Level: warn, Message: "daemon was paused and lost its standing", Action: "look for CPU starvation or a paused VM"}
	EligibilityRestored = Event{Number: 104, Level: info, Message: "standing confirmed by a peer", Action: "none"}
	DaemonFailed        = Event{Number: 105, Level: fail, Message: "daemon part failed", Action: "read the error; restart the daemon"}
	LinesDropped        = Event{Number: 106, Level: warn, Message: "log lines dropped", Action: "check what reads the log"}
	Reloaded            = Event{Number: 107, Level: info, Message: "settings read again", Action: "restart the daemon for the settings in field restart"}
	ReloadRefused       = Event{Number: 108, Level: warn, Message: "changed settings refused", Action: "mend the settings file"}
	Ready               = Event{Number: 109, Level: info, Message: "daemon ready", Action: "none"}
	BacklogDropped      = Event{Number: 110, Level: warn, Message: "opening packets that waited are dropped", Action: "look for CPU starvation or a paused VM"}
)

// Events of membership and links, 200 to 299.
var (
	MemberJoined     = Event{Number: 200, Level: info, Message: "member joined", Action: "none"}
	MemberLeaving    = Event{Number: 201, Level: info, Message: "member leaving", Action: "none"}
	MemberSuspected  = Event{Number: 202, Level: warn, Message: "member suspected", Action: "none, unless it repeats for one VM"}
	MemberDied       = Event{Number: 203, Level: warn, Message: "member declared dead", Action: "replace the VM"}
	SuspicionRefuted = Event{Number: 204, Level: info, Message: "own suspicion refuted", Action: "look for CPU starvation if it repeats"}
	LinkOpened       = Event{Number: 210, Level: info, Message: "link opened", Action: "none"}
	LinkLost         = Event{Number: 211, Level: warn, Message: "link lost", Action: "check the network between the zones if it repeats"}
	PeerRefused      = Event{Number: 212, Level: warn, Message: "peer refused", Action: "check the keys and the region of that VM"}
)

// Events of the tables and the store, 300 to 399.
var (
	TablesApplied     = Event{Number: 300, Level: info, Message: "tables applied", Action: "none"}
	TablesRegressed   = Event{Number: 301, Level: fail, Message: "store returned an older table version", Action: "the store was restored from a backup; run knapweedshorectl recover --above N"}
	TablesInvalid     = Event{Number: 302, Level: fail, Message: "tables refused", Action: "another tool has written to the tables' keys"}
	TablesUnconfirmed = Event{Number: 303, Level: warn, Message: "tables not confirmed to be newest", Action: "check the store and the zone's network"}
	FetchFailed       = Event{Number: 304, Level: warn, Message: "tables not fetched from a peer", Action: "none, unless it repeats for one peer"}
	StoreDown         = Event{Number: 310, Level: warn, Message: "store call failed", Action: "check the platform store"}
	StoreRecovered    = Event{Number: 311, Level: info, Message: "store answers again", Action: "none"}

	DirectoryApplied   = Event{Number: 320, Level: info, Message: "directory applied", Action: "none"}
	ItemRefused        = Event{Number: 321, Level: warn, Message: "store item refused", Action: "find the writer of the item"}
	WatcherRoleChanged = Event{Number: 322, Level: info, Message: "duty to watch the store has changed", Action: "none"}
	DirectoryFromPeer  = Event{Number: 324, Level: info, Message: "directory taken from a peer at the start", Action: "none"}

	RegistrationFailed = Event{Number: 323, Level: warn, Message: "registration in the store failed", Action: "check the platform store"}
)

// Events of flows and servers, 400 to 499.
var (
	ServerEjected    = Event{Number: 400, Level: warn, Message: "backend server ejected", Action: "check the server"}
	ServerReinstated = Event{Number: 401, Level: info, Message: "backend server reinstated", Action: "none"}
	EjectionRefused  = Event{Number: 402, Level: warn, Message: "ejection refused: half of the pool is ejected", Action: "check the pool or the network to it"}
	SilentFlow       = Event{Number: 403, Level: warn, Message: "flow is silent: caller sends and no answer comes", Action: "check the server"}
	FlowTableFull    = Event{Number: 410, Level: fail, Message: "flow table is full", Action: "add VMs or raise max_flows"}
	NewFlowLimited   = Event{Number: 411, Level: warn, Message: "new-flow rate limit reached", Action: "add VMs or raise new_flows_per_second"}
	BackupChanged    = Event{Number: 420, Level: info, Message: "backup for exceptions changed", Action: "none"}

	FlowPlaced      = Event{Number: 430, Level: info, Message: "flow placed", Action: "none", PerSecond: flowLines}
	FlowRefused     = Event{Number: 431, Level: info, Message: "flow refused", Action: "look at the reason", PerSecond: flowLines}
	FlowUnanswered  = Event{Number: 432, Level: info, Message: "flow ended without an answer", Action: "look for the server in the events 433", PerSecond: flowLines}
	ServerSuspected = Event{Number: 433, Level: warn, Message: "server does not accept flows", Action: "check the server if it repeats", PerSecond: beliefLines}
	ServerRecovered = Event{Number: 434, Level: info, Message: "server accepts flows again", Action: "none", PerSecond: beliefLines}
	ZoneUnreachable = Event{Number: 435, Level: warn, Message: "zone is not reachable", Action: "check the network between the zones"}
	ZoneReachable   = Event{Number: 436, Level: info, Message: "zone is reachable again", Action: "none"}
)

// All returns every event in the order of its number.
func All() []Event {
	return []Event{
		DaemonStarted, DaemonLeaving, DaemonStopped, DaemonPaused, EligibilityRestored, DaemonFailed,
		LinesDropped, Reloaded, ReloadRefused, Ready, BacklogDropped,
		MemberJoined, MemberLeaving, MemberSuspected, MemberDied, SuspicionRefuted, LinkOpened, LinkLost, PeerRefused,
		TablesApplied, TablesRegressed, TablesInvalid, TablesUnconfirmed, FetchFailed, StoreDown, StoreRecovered,
		DirectoryApplied, ItemRefused, WatcherRoleChanged, RegistrationFailed, DirectoryFromPeer,
		ServerEjected, ServerReinstated, EjectionRefused, SilentFlow, FlowTableFull, NewFlowLimited, BackupChanged,
		FlowPlaced, FlowRefused, FlowUnanswered, ServerSuspected, ServerRecovered, ZoneUnreachable, ZoneReachable,
	}
}
