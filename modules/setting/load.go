package setting

import (
	"os"
	"time"

	"gopkg.in/ini.v1"
)

// Load reads and validates one file. An error is always of type Faults.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: path, Message: "cannot be read: " + err.Error()}}
	}
	return Parse(path, content)
}

// Parse reads and validates the content of a settings file. path appears only in faults
// and in Settings.Path. An error is always of type Faults.
func Parse(path string, content []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{Insensitive: false}, content)
	if err != nil {
		return nil, Faults{{File: path, Message: "is not INI: " + err.Error()}}
	}
	r := newReader(path, file, content)
	s := &Settings{path: path}
	s.readHostSettings(r)
	s.readCallerSettings(r)
	s.readPeersSettings(r)
	s.readPlatformSettings(r)
	s.readBalanceSettings(r)
	r.rejectUnknownKeys()
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return s, nil
}

func (s *Settings) readHostSettings(r *reader) {
	s.host = r.name("host", "ID")
	s.dataCentre = r.name("host", "DATA_CENTRE")
	s.logLevel = r.oneOf("log", "LEVEL", "info", "debug", "info", "warn", "error")
}

func (s *Settings) readCallerSettings(r *reader) {
	s.caller.listen = r.address("caller", "LISTEN")
	s.caller.maxBody = r.bytes("caller", "MAX_BODY", 1<<20, 1<<10, 64<<20)
	s.caller.maxHeader = r.bytes("caller", "MAX_HEADER", 16<<10, 1<<10, 1<<20)
	s.caller.maxTimeout = r.duration("caller", "MAX_TIMEOUT", 30*time.Second, time.Millisecond, 10*time.Minute)
	s.caller.maxInFlight = r.integer("caller", "MAX_IN_FLIGHT", 2000, 1, 1_000_000)
	s.caller.drainDelay = r.duration("caller", "DRAIN_DELAY", 2*time.Second, 0, time.Minute)
	s.operator.listen = r.address("operator", "LISTEN")
}

func (s *Settings) readPeersSettings(r *reader) {
	s.peer.listen = r.address("peer", "LISTEN")
	s.peer.ca = r.readableFile("peer", "CA_FILE")
	s.peer.cert = r.readableFile("peer", "CERT_FILE")
	s.peer.key = r.readableFile("peer", "KEY_FILE")
	s.peer.heartbeat = r.duration("peer", "HEARTBEAT", time.Second, 50*time.Millisecond, 10*time.Second)
}

func (s *Settings) readPlatformSettings(r *reader) {
	s.platform.address = r.address("platform", "ADDRESS")
	s.platform.timeout = r.duration("platform", "TIMEOUT", time.Second, 10*time.Millisecond, time.Minute)
	s.platform.watchers = r.integer("platform", "WATCHERS", 2, 1, 10)
	s.platform.poll = r.duration("platform", "POLL", 10*time.Second, 100*time.Millisecond, 10*time.Minute)
}

func (s *Settings) readBalanceSettings(r *reader) {
	s.balance.subset = r.integer("balance", "SUBSET", 0, 0, 1000)
	s.balance.hedgeShare = r.fraction("balance", "HEDGE_SHARE", 0.02)
	s.balance.hedgeBurst = r.integer("balance", "HEDGE_BURST", 10, 0, 10_000)
	s.balance.silence = r.duration("balance", "SILENCE", 250*time.Millisecond, time.Millisecond, time.Minute)
	s.balance.claimBuckets = r.integer("balance", "CLAIM_BUCKETS", 16, 1, 1024)
}

// CheckTogether returns the faults that show only when the settings of several daemons
// are compared: a host identity or a listener address that two daemons use.
func CheckTogether(all []*Settings) Faults {
	var faults Faults
	firstPaths := map[string]string{}
	checkUnique := func(s *Settings, section, key, value string) {
		id := key + "=" + value
		if first, ok := firstPaths[id]; ok {
			faults = append(faults, Fault{
				File: s.path, Section: section, Key: key,
				Message: value + " is already used by " + first,
			})
			return
		}
		firstPaths[id] = s.path
	}
	for _, s := range all {
		checkUnique(s, "host", "ID", s.host)
		for section, address := range map[string]string{
			"caller":   s.caller.listen,
			"operator": s.operator.listen,
		} {
			checkUnique(s, section, "LISTEN (TCP)", address)
		}
		checkUnique(s, "peer", "LISTEN (UDP)", s.peer.listen)
	}
	return faults
}
