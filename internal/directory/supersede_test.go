package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an outdated item of a restored store that replaces what is known, and
// against a new one that is ignored.
func TestSupersedes(t *testing.T) {
	config := func(version uint64) Change { return Change{Config: &Config{Version: version}} }
	server := func(started int64, writes uint64, draining bool) Change {
		return Change{Server: &Server{Name: "i-1", Started: started, Writes: writes, Draining: draining}}
	}
	gone := func(c Change) Change { return Change{Deleted: "i-1", LastState: c.Server} }
	missing := Change{Deleted: "i-1"}
	unreadable := Change{Invalid: "i-1"}
	evacuated, returned, lost := Change{Evacuated: "a"}, Change{Returned: "a"}, Change{Returned: "a", Lost: true}
	for name, test := range map[string]struct {
		next, known Change
		want        bool
	}{
		"older configuration":                       {config(4), config(5), false},
		"configuration written again":               {config(5), config(5), true},
		"newer configuration":                       {config(6), config(5), true},
		"configuration that the copy lacks":         {Change{}, config(5), false},
		"first configuration":                       {config(1), Change{}, true},
		"ready before it drained":                   {server(1, 3, false), server(1, 9, true), false},
		"written since the restore":                 {server(1, 10, true), server(1, 9, false), true},
		"the same write":                            {server(1, 3, false), server(1, 3, false), false},
		"restarted since":                           {server(2, 1, false), server(1, 9, true), true},
		"from before a restart":                     {server(1, 9, false), server(2, 1, false), false},
		"ready before it drained and left":          {server(1, 3, false), gone(server(1, 9, true)), false},
		"silent before, perhaps alive":              {server(1, 3, false), gone(server(1, 3, false)), true},
		"restarted after it left":                   {server(2, 1, false), gone(server(1, 9, true)), true},
		"of a process before the one that was gone": {server(1, 9, false), gone(server(2, 1, false)), false},
		"registered after the copy was taken":       {missing, server(1, 3, false), true},
		"unreadable":                                {unreadable, server(1, 3, false), true},
		"readable after an unreadable registration": {server(1, 3, false), unreadable, true},
		"unknown before":                            {server(1, 3, false), missing, true},
		"evacuation that the copy lacks":            {lost, evacuated, false},
		"evacuation removed, as a peer has seen":    {returned, evacuated, true},
		"evacuation written again":                  {evacuated, evacuated, true},
		"evacuation brought back":                   {evacuated, returned, true},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Supersedes(test.next, test.known), test.want)
		})
	}
}

// Guards against servers that take no new flows because a restored store lacks the
// registrations that they have yet to write again.
func TestServersThatARestoreLostTakeNewFlows(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	draining := testServer("i-4", 4, 4)
	draining.Draining = true
	applyAndBuild(t, b, epoch, Change{Server: testServer("i-1", 1, 1)}, Change{Server: testServer("i-2", 2, 2)},
		Change{Server: testServer("i-3", 3, 3)}, Change{Server: draining})
	d := applyAndBuild(t, b, epoch.Add(time.Second), Change{Deleted: "i-1", Lost: true}, Change{Deleted: "i-4", Lost: true})
	is.Equal(names(d.Candidates("p")), []string{"i-1", "i-2", "i-3"})
	d = applyAndBuild(t, b, epoch.Add(time.Second+DefaultRetention.Missing))
	is.Equal(names(d.Candidates("p")), []string{"i-2", "i-3"})
}
