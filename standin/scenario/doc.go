// Package scenario is a small language for failures of the control plane. A
// script builds a site of real control planes (member table, peer node and
// table syncer of each VM) on a network in memory and the stand-in of the
// platform store, breaks parts of it, and states what must hold.
//
// Scripts are testscript files, run by Run. Each script runs as a whole inside
// a synctest bubble: testscript.RunT starts scripts through its T interface,
// and the T of this package opens the bubble around the script. All goroutines
// of the site are thus in the bubble, and minutes of virtual time take
// milliseconds.
//
// Code in a bubble cannot be stopped from outside. A frozen VM neither sends nor
// receives at once, but its member loop stops only when it suspects the first
// silent peer, about 1 s later. Pauses of 3 s and more are therefore faithful.
//
// # Commands
//
// The words the, of, a, an, next and from are ignored. testscript reserves
// wait and kill, so these are called await and crash.
//
//	site REGION               start cartago or tn-north: 8 VMs, tables of version 1
//	crash VM|ZONE|watcher     stop VMs at once; connections go silent
//	crash watcher in ZONE     stop the first watcher of a zone
//	start VM                  start a crashed VM anew
//	freeze VM, thaw VM        pause a VM and let it go on
//	cut X from Y              X is a zone; Y a zone, others or platform
//	heal                      end all cuts; connections that went silent stay so
//	store down|back|throttled|slow D
//	backup, restore           copy the store's values and put them back
//	drain POOL SERVER         write a change as operator ana
//	weight POOL SERVER N      the same
//	recover above N           renumber the tables of a restored store
//	before write AUTHOR COMMAND ...  another operator's change comes first
//	lose answer|request of N writes  N may be left out
//	lease take|lapse NAME VM  VM takes a lease of 10 s, or loses it unawares
//	sleep D
//	await CONDITION           like within 10s, counted from now, to set up a state
//	within D CONDITION        counted from the last accepted write or fault
//	always D CONDITION        holds now and during D
//	calls at most N in D      calls of the whole site since the last store command
//
// # Conditions
//
//	version N WHERE           the tables in force; 0 means none
//	store version N           the newest version in the store
//	server POOL NAME SETTING WHERE
//	age over|under D WHERE    time since the version was confirmed as newest
//	standing WHERE, no standing WHERE
//	acknowledged standing WHERE  standing is absent or was acknowledged by a peer after the last thaw
//	event N WHERE, no event N WHERE
//	dead X WHERE              exactly the VMs of X (a zone, VM or nobody) are declared dead
//
// WHERE is everywhere, somewhere, on VM, in ZONE, outside VM or ZONE, or on
// watchers. It never includes crashed and frozen VMs, except when one VM is
// named.
//
// Every script also fails if a VM ever goes back to a lower version.
package scenario
