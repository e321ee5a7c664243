package metrics

// Reasons for refusing a packet, a flow or a message.
const (
	Malformed         Reason = "malformed"
	Truncated         Reason = "truncated"
	Fragment          Reason = "fragment"
	UnsupportedHeader Reason = "unsupported_header"
	UnknownSource     Reason = "unknown_source"
	HopLimit          Reason = "hop_limit"
	NoRoute           Reason = "no_route"
	AnswerUnknown     Reason = "answer_unknown"
	NoUsableServer    Reason = "no_usable_server"
	ServerLimit       Reason = "server_limit"
	ReverseConflict   Reason = "reverse_conflict"
	FlowTableFull     Reason = "flow_table_full"
	NewFlowRate       Reason = "new_flow_rate"
	NoStanding        Reason = "no_standing"
	NoOwner           Reason = "no_owner"
	NoTables          Reason = "no_tables"
	ResetUnconfirmed  Reason = "reset_unconfirmed"
	ICMPUnknownFlow   Reason = "icmp_unknown_flow"
	StaleTables       Reason = "stale_tables"
	PeerNotMember     Reason = "peer_not_member"
	PeerRefused       Reason = "peer_refused"
	LinkQueueFull     Reason = "link_queue_full"
	ExceptionBudget   Reason = "exception_budget"
	ExceptionStale    Reason = "exception_stale"
	TablesRegressed   Reason = "table_version_regressed"
	StoreBudget       Reason = "store_budget"
	SendFailed        Reason = "send_failed"
	SilentFlow        Reason = "silent_flow"
	NoCookie          Reason = "no_cookie"
	UnknownCookie     Reason = "unknown_cookie"
	StalePacket       Reason = "stale_packet"
	PoolEvacuated     Reason = "pool_evacuated"
	EvacuatedCopy     Reason = "evacuated_copy"
	ColdLimit         Reason = "cold_limit"
	ServerGone        Reason = "server_gone"
	NoRoom            Reason = "no_room"
)

var refusalReasons = []Reason{
	Malformed, Truncated, Fragment, UnsupportedHeader, UnknownSource, HopLimit,
	NoRoute, AnswerUnknown, NoUsableServer, ServerLimit, ReverseConflict,
	FlowTableFull, NewFlowRate, NoStanding, NoOwner, NoTables, ResetUnconfirmed,
	ICMPUnknownFlow, StaleTables, PeerNotMember, PeerRefused, LinkQueueFull, ExceptionBudget,
	ExceptionStale, TablesRegressed, StoreBudget, SendFailed,
	SilentFlow, NoCookie, UnknownCookie, StalePacket, PoolEvacuated, EvacuatedCopy, ColdLimit, ServerGone, NoRoom,
}

// Reasons for retrying a call.
const (
	StoreTimeout     Reason = "store_timeout"
	StoreUnavailable Reason = "store_unavailable"
	StoreThrottled   Reason = "store_throttled"
	StoreConflict    Reason = "store_conflict"
	LinkDial         Reason = "link_dial"
	LinkBroken       Reason = "link_broken"
	TablesGap        Reason = "tables_gap"
	ExceptionResend  Reason = "exception_resend"
	ServerMoved      Reason = "server_moved"
	HistoryLost      Reason = "history_lost"
	PeerBusy         Reason = "peer_busy"
)

var retryReasons = []Reason{
	StoreTimeout, StoreUnavailable, StoreThrottled, StoreConflict, LinkDial,
	LinkBroken, TablesGap, ExceptionResend, ServerMoved, HistoryLost, PeerBusy,
}

// Names of the totals.
const (
	PacketsIn            Reason = "packets_in"
	PacketsOut           Reason = "packets_out"
	PacketsForwarded     Reason = "packets_forwarded"
	FlowsOpened          Reason = "flows_opened"
	FlowsAdopted         Reason = "flows_adopted"
	FlowsClosed          Reason = "flows_closed"
	FlowsExpired         Reason = "flows_expired"
	FlowsDeviated        Reason = "flows_deviated"
	SilentFlows          Reason = "silent_flows"
	Ejections            Reason = "ejections"
	ExceptionsSent       Reason = "exceptions_sent"
	ExceptionsStored     Reason = "exceptions_stored"
	ExceptionsHandover   Reason = "exceptions_handover"
	TablesApplied        Reason = "tables_applied"
	StoreCalls           Reason = "store_calls"
	ControlBytesSent     Reason = "control_bytes_sent"
	ControlBytesReceived Reason = "control_bytes_received"
	MembersDied          Reason = "members_died"
	ProbesSent           Reason = "probes_sent"
	FlowsUnanswered      Reason = "flows_unanswered"
	ServersSuspected     Reason = "servers_suspected"
	FlowsMoved           Reason = "flows_moved"
	CookiesCorrected     Reason = "cookies_corrected"
	RequestsRepeated     Reason = "requests_repeated"
	PacesStarted         Reason = "paces_started"
	PacesEnded           Reason = "paces_ended"
	FlowsReset           Reason = "flows_reset"
	ServersGone          Reason = "servers_gone"
	ServerProbes         Reason = "server_probes"
	RequestsFailed       Reason = "requests_failed"
	ServersFailing       Reason = "servers_failing"
	TrialFlows           Reason = "trial_flows"
)

var totalNames = []Reason{
	PacketsIn, PacketsOut, PacketsForwarded, FlowsOpened, FlowsAdopted,
	FlowsClosed, FlowsExpired, FlowsDeviated, SilentFlows, Ejections,
	ExceptionsSent, ExceptionsStored, ExceptionsHandover, TablesApplied,
	StoreCalls, ControlBytesSent, ControlBytesReceived, MembersDied,
	ProbesSent, FlowsUnanswered, ServersSuspected, FlowsMoved, CookiesCorrected, RequestsRepeated,
	PacesStarted, PacesEnded, FlowsReset, ServersGone, ServerProbes, RequestsFailed, ServersFailing, TrialFlows,
}

// Names of the latency histograms.
const (
	// FlowAccepted is the time from a flow's first packet to its next one.
	FlowAccepted Reason = "flow_accepted"
	// RequestAnswered is the time from a request to the caller's first packet
	// after the response.
	RequestAnswered Reason = "request_answered"
)

var latencyNames = []Reason{FlowAccepted, RequestAnswered}
