package peer

import (
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

const (
	// maxRecordsPerUpdate limits the records of one received message.
	maxRecordsPerUpdate = 1024
	// maxDeltaBytes limits the size of one table change, in bytes. The store's
	// values have at most 1 MB.
	maxDeltaBytes = 1 << 20
	// maxAge limits the age of tables in a heartbeat, so that it does not overflow
	// a time.Duration.
	maxAge = 10 * 365 * 24 * time.Hour
)

// hello is the validated first message of a link.
type hello struct {
	self          member.Member
	tablesVersion tables.Version
}

// checkHello validates the first message of a link. Its record must match the
// identity in the peer's certificate and the region of this daemon.
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
		return hello{}, refusedf("hello names member %q, but the certificate is for %q", self.Name, id.Name)
	case self.Region != id.Region:
		return hello{}, refusedf("hello names region %q, but the certificate is for region %q", self.Region, id.Region)
	case self.Region != region:
		return hello{}, refusedf("peer is in region %q, expected region %q", self.Region, region)
	}
	return hello{self: self, tablesVersion: tables.Version(h.GetTablesVersion())}, nil
}

// checkRecords returns the valid records and the number of malformed ones. If there
// are more than maxRecordsPerUpdate records, all of them count as malformed.
func checkRecords(u *peerapi.MemberUpdate) (valid []member.Member, malformed int) {
	records := u.GetRecords()
	if len(records) > maxRecordsPerUpdate {
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

// checkTables validates a table change, except for the contents of its delta.
func checkTables(u *peerapi.TablesUpdate) error {
	switch {
	case u.GetVersion() == 0:
		return errors.New("table change has no version")
	case len(u.GetDelta()) == 0 || len(u.GetDelta()) > maxDeltaBytes:
		return errors.Errorf("table change has an invalid size of %d bytes", len(u.GetDelta()))
	}
	return nil
}

// ageFromMillis converts an age in milliseconds. It returns maxAge for higher ages.
func ageFromMillis(ms uint64) time.Duration {
	if ms > uint64(maxAge.Milliseconds()) {
		return maxAge
	}
	return time.Duration(ms) * time.Millisecond
}
