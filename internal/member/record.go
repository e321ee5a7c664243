package member

import (
	"net/netip"

	"github.com/go-faster/errors"

	"knapweedshore.example/peerapi"
)

// Limits on records received from other daemons.
const (
	// MaxNameLength limits member names, regions and zones, in bytes.
	MaxNameLength = 63
	// MaxCapacity limits the weight of one member in the slot map.
	MaxCapacity = 1_000_000
	// maxIncarnation is far above any start time in milliseconds, so that a
	// member can always refute a record with a higher incarnation.
	maxIncarnation = 1 << 62
)

// FromRecord parses and validates a record received from another daemon.
func FromRecord(r *peerapi.MemberRecord) (Member, error) {
	if r == nil {
		return Member{}, errors.New("member record is missing")
	}
	m := Member{
		Name: Name(r.GetName()), Region: r.GetRegion(), Zone: r.GetZone(),
		Capacity: r.GetCapacity(), Incarnation: r.GetIncarnation(), State: r.GetState(),
	}
	var err error
	if m.Control, err = parseAddress(r.GetControlAddress()); err != nil {
		return Member{}, errors.Wrapf(err, "control address of member %q", m.Name)
	}
	if m.Data, err = parseAddress(r.GetDataAddress()); err != nil {
		return Member{}, errors.Wrapf(err, "data address of member %q", m.Name)
	}
	if err := m.Validate(); err != nil {
		return Member{}, err
	}
	return m, nil
}

func parseAddress(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}

// Validate returns an error for the first field that is invalid.
func (m Member) Validate() error {
	switch {
	case !validLabel(string(m.Name)):
		return errors.Errorf("member name %q must have 1 to %d printable characters", m.Name, MaxNameLength)
	case !validLabel(m.Region):
		return errors.Errorf("region %q of member %q must have 1 to %d printable characters", m.Region, m.Name, MaxNameLength)
	case !validLabel(m.Zone):
		return errors.Errorf("zone %q of member %q must have 1 to %d printable characters", m.Zone, m.Name, MaxNameLength)
	case !m.Control.IsValid() || m.Control.Port() == 0:
		return errors.Errorf("member %q has no control address", m.Name)
	case !m.Data.IsValid() || m.Data.Port() == 0:
		return errors.Errorf("member %q has no data address", m.Name)
	case m.Capacity == 0 || m.Capacity > MaxCapacity:
		return errors.Errorf("capacity %d of member %q must be 1 to %d", m.Capacity, m.Name, MaxCapacity)
	case m.Incarnation == 0 || m.Incarnation > maxIncarnation:
		return errors.Errorf("incarnation %d of member %q is out of range", m.Incarnation, m.Name)
	case m.State < Alive || m.State > Left:
		return errors.Errorf("state %d of member %q is unknown", m.State, m.Name)
	}
	return nil
}

// validLabel reports whether s consists of 1 to MaxNameLength printable ASCII
// characters other than spaces, which are safe in logs and certificates.
func validLabel(s string) bool {
	if s == "" || len(s) > MaxNameLength {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// Record returns the member as a protocol message.
func (m Member) Record() *peerapi.MemberRecord {
	return &peerapi.MemberRecord{
		Name: string(m.Name), Region: m.Region, Zone: m.Zone,
		ControlAddress: m.Control.String(), DataAddress: m.Data.String(),
		Capacity: m.Capacity, Incarnation: m.Incarnation, State: m.State,
	}
}
