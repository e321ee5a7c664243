package entrysite

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/standin/platform"
)

// Guards against planned changes, a store outage or a crash that break flows. Each
// packet of a flow goes to a randomly picked daemon.
func TestSiteKeepsItsPromises(t *testing.T) {
	is := is.New(t)
	s, err := Run(context.Background(), Config{Seed: 101, Duration: 12 * time.Second}, func(line string) { t.Log(line) })
	is.NoErr(err)
	if !s.OK() {
		t.Fatal(s)
	}
	is.True(s.Requests > 100)
}

// Guards against a summary that reports success although requests were not executed
// or flows broke.
func TestSummaryNamesWhatWentWrong(t *testing.T) {
	is := is.New(t)
	network, err := platform.ClaimNetwork()
	is.NoErr(err)
	defer network.Release()
	server, err := platform.NewBackend(network.Addr(serverGroup, 1, serverPort), 1, counterPool, zoneName(0), dataPort)
	is.NoErr(err)
	defer server.Close()
	servers := []*platform.Backend{server}

	var r report
	is.True(r.summary(servers, time.Second).OK())
	r.addRequest() // which no server executed
	s := r.summary(servers, time.Second)
	is.True(!s.OK())
	is.True(strings.Contains(s.String(), "1 requests were answered and 0 executed"))

	r = report{}
	r.addBrokenFlow("flow %d broke", 7)
	s = r.summary(servers, time.Second)
	is.True(!s.OK())
	is.True(strings.Contains(s.String(), "flow 7 broke"))
}
