// Package scenario runs scripts that inject failures into the control plane and
// check how it reacts. A script starts a site with the real control plane of
// each VM (member table, peer node and table syncer) on an in-memory network
// and the stand-in of the platform store.
//
// Scripts are testscript files, run by Run. testscript.RunT starts each script
// through its T interface, and the T of this package runs the whole script
// inside a synctest bubble. Every goroutine of the site belongs to the bubble,
// so minutes of virtual time take milliseconds.
//
// Code in a bubble cannot be suspended from outside. A frozen VM stops sending
// and receiving immediately, but its member loop runs on until it suspects the
// first silent peer, about 1 s later. Only freezes of 3 s or more therefore
// behave like those of a real VM.
//
// # Commands
//
// The words the, of, a, an, next and from are ignored. testscript reserves
// the names wait and kill, so the commands are called await and crash.
//
//	site REGION               start cartago or tn-north: 8 VMs, tables of version 1
//	crash VM|ZONE|watcher     stop VMs without closing their connections
//	crash watcher in ZONE     crash the first watcher of a zone
//	start VM|ZONE             restart crashed VMs
//	freeze VM, thaw VM        pause and resume a VM (or all VMs of a zone)
//	cut ZONE from Y           drop all traffic between them; Y is a zone, others or platform
//	heal                      end all cuts; connections that were cut stay dead
//	store down|throttled|slow D  make all calls fail or delay each answer by D
//	store back                end all faults of the store that a store command started
//	backup, restore           save the store's values, write them back
//	drain POOL SERVER         drain a server, as operator ana
//	weight POOL SERVER N      set a server's weight, as operator ana
//	recover above N           renumber the tables of a restored store above version N
//	before write AUTHOR COMMAND ...  have another operator's drain or weight precede the next write
//	lose answer|request of N writes  lose them for the next N writes; N defaults to 1
//	lease take|lapse NAME VM  let VM take a lease of 10 s, or expire it without telling VM
//	sleep D                   wait for a duration
//	await CONDITION           wait up to 10 s, counted from now; for setting up a state
//	within D CONDITION        wait at most until D after the last accepted write or fault command
//	always D CONDITION        check that it holds now and throughout D
//	calls at most N in D      limit the site's store calls for the tables in D after the last store command
//	lists at most N in D      limit its reads of the list of VMs in the same way
//
// # Conditions
//
//	version N WHERE           version of the tables in force; 0 means none
//	store version N           newest version in the store
//	server POOL NAME SETTING WHERE  the server has the setting, such as weight=50
//	age over|under D WHERE    time since the version was last confirmed as the newest
//	standing WHERE            the VM is eligible to decide about flows
//	acknowledged standing WHERE  the VM is not eligible, or a peer acknowledged it after the last thaw
//	event N WHERE             the VM has logged event N
//	dead X WHERE              exactly the VMs of X (a zone, VM or nobody) are declared dead
//
// The word no before a condition on VMs negates it on each of them.
//
// WHERE is everywhere, somewhere, on VM, in ZONE, outside VM or ZONE, or on
// watchers. Crashed VMs are never included, and frozen VMs only by on VM.
//
// A script also fails if any VM goes back to a lower version.
package scenario
