package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func serverIn(zone, name string, number uint64) Change {
	s := testServer(name, number, number)
	s.Zone = zone
	return Change{Server: s}
}

// Guards against new flows to a server of an evacuated zone, against an evacuation that breaks
// open flows, that changes a directory in use, or that outlasts its removal, and against one
// that is lost because its zone has no servers yet.
func TestEvacuatedZoneTakesNoNewFlows(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	before := applyAndBuild(t, b, epoch, serverIn("a", "i-1", 1), serverIn("b", "i-2", 2), serverIn("c", "i-3", 3))
	b.Apply([]Change{{Evacuated: "a", Revision: 9}, {Evacuated: "unknown", Revision: 10}}, Position{Era: 1, Revision: 12}, epoch)
	d := b.Build()
	is.Equal(names(d.Candidates("p")), []string{"i-2", "i-3"})
	is.Equal(names(before.Candidates("p")), []string{"i-1", "i-2", "i-3"})
	is.Equal(d.ByCookie(1).Name, "i-1") // packets of open flows still find it
	is.Equal(d.ServersIn("a"), 1)
	is.Equal(d.Evacuations(), []Evacuation{
		{Zone: "a", Position: Position{Era: 1, Revision: 9}, Since: epoch},
		{Zone: "unknown", Position: Position{Era: 1, Revision: 10}, Since: epoch},
	})

	d = applyAndBuild(t, b, epoch.Add(time.Second), Change{Evacuated: "b"}, Change{Evacuated: "a", Revision: 20}, serverIn("unknown", "i-4", 4))
	is.Equal(names(d.Candidates("p")), []string{"i-3"})
	is.Equal(d.Evacuations()[0].Since, epoch) // written again while in force
	is.True(!d.PoolEvacuated("p"))
	d = applyAndBuild(t, b, epoch.Add(time.Second), Change{Evacuated: "c"})
	is.True(d.PoolEvacuated("p") && !d.PoolEvacuated("other"))
	d = applyAndBuild(t, b, epoch.Add(2*time.Second), Change{Returned: "a"}, Change{Returned: "unknown"}, Change{Returned: "never"})
	is.Equal(names(d.Candidates("p")), []string{"i-1", "i-4"})
	d = applyAndBuild(t, b, epoch.Add(3*time.Second), Change{Evacuated: "a", ReadAt: epoch.Add(2 * time.Second)})
	is.Equal(names(d.Candidates("p")), []string{"i-4"})
	is.Equal(d.Evacuations()[0].Since, epoch.Add(2*time.Second))
}

// Guards against servers without a current registration that take new flows in an evacuated
// zone, against evacuated servers that hide that most of the others have lost their
// registrations, and against a zone that is shut down and makes crashed servers of other zones
// take new flows.
func TestEvacuationAndMissingServers(t *testing.T) {
	register := []Change{
		serverIn("a", "i-1", 1), serverIn("a", "i-2", 2), serverIn("a", "i-3", 3),
		serverIn("b", "i-4", 4), serverIn("b", "i-5", 5), serverIn("b", "i-6", 6), {Evacuated: "a"},
	}
	for name, test := range map[string]struct {
		changes []Change
		want    []string
	}{
		"all registrations expired": {
			[]Change{{Deleted: "i-1"}, {Deleted: "i-2"}, {Deleted: "i-3"}, {Deleted: "i-4"}, {Deleted: "i-5"}, {Deleted: "i-6"}},
			[]string{"i-4", "i-5", "i-6"},
		},
		"those of the evacuated zone came back first": {
			[]Change{{Deleted: "i-4"}, {Deleted: "i-5"}}, []string{"i-4", "i-5", "i-6"},
		},
		"zone shut down, crash elsewhere": {
			[]Change{{Deleted: "i-1"}, {Deleted: "i-2"}, {Deleted: "i-3"}, {Deleted: "i-4"}}, []string{"i-5", "i-6"},
		},
		"lost by a restore": {
			[]Change{{Deleted: "i-1", Lost: true}, {Deleted: "i-4", Lost: true}}, []string{"i-4", "i-5", "i-6"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBuilder()
			applyAndBuild(t, b, epoch, register...)
			is.New(t).Equal(names(applyAndBuild(t, b, epoch.Add(time.Second), test.changes...).Candidates("p")), test.want)
		})
	}
}

// Guards against entries for any number of zones, and against one for a zone with servers that
// is not in force because of them, in whatever order they are read.
func TestEvacuationsAreBounded(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	var changes []Change
	for i := range 1000 {
		changes = append(changes, Change{Evacuated: fmt.Sprintf("odd %d/\x00\xff", i), Revision: uint64(1000 + i)})
	}
	changes = append(changes, Change{Evacuated: "a", Revision: 3000}, serverIn("a", "i-1", 1))
	refused := b.Apply(changes, Position{Revision: 3000}, epoch)
	is.Equal(len(refused), 1001-maxEvacuations)
	is.Equal(refused[0], Refusal{Revision: 1999, Subject: "odd 999/\x00\xff", Reason: ReasonTooManyEvacuations})
	d := b.Build()
	is.Equal(len(d.Evacuations()), maxEvacuations)
	is.True(d.Evacuated("a") && d.PoolEvacuated("p"))
}
