package peer

import (
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

const (
	// maxRecords bounds the records of one message.
	maxRecords = 1024
	// maxDeltaBytes bounds one table change; the store's values end at 1 MB.
	maxDeltaBytes = 1 << 20
	// maxAge bounds the age of tables in a heartbeat, so that it fits a
	// time.Duration.
	maxAge = 10 * 365 * 24 * time.Hour
)

// hello is the checked first message of a link.
type hello struct {
	self    member.Member
	version tables.Version
}

// checkHello checks the message that must come first, against the identity in
// the certificate and the region of this daemon.
func checkHello(m *peerapi.LinkMessage, id Identity, region string) (hello, error) {
	h := m.GetHello()
	if h == nil {
		return hello{}, errors.New("first message is not a hello")
	}
	self, err := member.FromRecord(h.GetSelf())
	switch {
	case err != nil:
		return hello{}, errors.Wrap(err, "check hello")
	case self.Name != id.Name:
		return hello{}, refusedf("hello of %q on a certificate of %q", self.Name, id.Name)
	case self.Region != id.Region:
		return hello{}, refusedf("hello from region %q on a certificate of region %q", self.Region, id.Region)
	case self.Region != region:
		return hello{}, refusedf("member of region %q in region %q", self.Region, region)
	}
	return hello{self: self, version: tables.Version(h.GetTablesVersion())}, nil
}

// checkRecords returns the records that are well formed and counts the others.
func checkRecords(u *peerapi.MemberUpdate) (valid []member.Member, malformed int) {
	records := u.GetRecords()
	if len(records) > maxRecords {
		return nil, len(records)
	}
	for _, r := range records {
		m, err := member.FromRecord(r)
		if err != nil {
			malformed++
			continue
		}
		valid = append(valid, m)
	}
	return valid, malformed
}

// checkTables reports whether a table change can be handed on.
func checkTables(u *peerapi.TablesUpdate) error {
	switch {
	case u.GetVersion() == 0:
		return errors.New("table change without a version")
	case len(u.GetDelta()) == 0 || len(u.GetDelta()) > maxDeltaBytes:
		return errors.Errorf("table change of %d bytes", len(u.GetDelta()))
	}
	return nil
}

func durationOf(ms uint64) time.Duration {
	if ms > uint64(maxAge.Milliseconds()) {
		return maxAge
	}
	return time.Duration(ms) * time.Millisecond
}
