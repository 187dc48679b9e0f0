// Package settings reads the static settings of one entry daemon, which don't
// change while the process runs. All settings that may change are in the tree of
// package tree.
package settings

import (
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/jsonc"
)

// Settings are the checked settings of an entry daemon.
type Settings struct {
	// VM is this VM's name in the platform's VM list.
	VM string `json:"vm" required:"true"`
	// Zone is this VM's availability zone.
	Zone string `json:"zone" required:"true"`
	// CallerAddress is the IP address and port that callers connect to.
	CallerAddress string `json:"caller_address" required:"true"`
	// PeerAddress is the IP address and port that other entries connect to.
	PeerAddress string `json:"peer_address" required:"true"`
	// StatusAddress is the IP address and port of the status page.
	StatusAddress string `json:"status_address" required:"true"`
	// PlatformEndpoints are the base URLs of the log service and VM list.
	PlatformEndpoints []string `json:"platform_endpoints" required:"true"`
	// Peers are the peer addresses to contact when the platform is down.
	Peers []string `json:"peers"`
	// LogLevel is the minimum level of log lines: debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// AddressTTLMs is how long callers may cache the list of entries' addresses, in
	// milliseconds.
	AddressTTLMs int64 `json:"address_ttl_ms" min:"100" max:"600000"`
	// KeepAliveMs is how long an idle connection of a caller stays open, in
	// milliseconds.
	KeepAliveMs int64 `json:"keep_alive_ms" min:"100" max:"600000"`
	// DrainLimitMs is how long requests in progress may take after the start of a
	// shutdown, in milliseconds.
	DrainLimitMs int64 `json:"drain_limit_ms" min:"100" max:"86400000"`
	// Workers is the number of goroutines that dispatch queued requests.
	Workers int `json:"workers" min:"1" max:"1024"`
	// MemoryLimitMB is the soft memory limit of the Go runtime in units of 2^20 bytes:
	// near it, garbage is collected as often as necessary.
	MemoryLimitMB int64 `json:"memory_limit_mb" min:"64" max:"1048576"`
}

// Defaults of the fields that a settings file may omit.
const (
	defaultLogLevel      = "info"
	defaultAddressTTLMs  = 2_000
	defaultKeepAliveMs   = 5_000
	defaultDrainLimitMs  = 15 * 60 * 1000
	defaultWorkers       = 8
	defaultMemoryLimitMB = 256
)

var logLevels = []string{"debug", "info", "warn", "error"}

// AddressTTL is AddressTTLMs as a duration.
func (s *Settings) AddressTTL() time.Duration { return milliseconds(s.AddressTTLMs) }

// KeepAlive is KeepAliveMs as a duration.
func (s *Settings) KeepAlive() time.Duration { return milliseconds(s.KeepAliveMs) }

// DrainLimit is DrainLimitMs as a duration.
func (s *Settings) DrainLimit() time.Duration { return milliseconds(s.DrainLimitMs) }

// MemoryLimit is MemoryLimitMB in bytes.
func (s *Settings) MemoryLimit() int64 { return s.MemoryLimitMB << 20 }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Default returns the defaults of the fields that a settings file may omit.
func Default() Settings {
	return Settings{
		LogLevel:      defaultLogLevel,
		AddressTTLMs:  defaultAddressTTLMs,
		KeepAliveMs:   defaultKeepAliveMs,
		DrainLimitMs:  defaultDrainLimitMs,
		Workers:       defaultWorkers,
		MemoryLimitMB: defaultMemoryLimitMB,
	}
}

// Load reads and checks a settings file. The error is a finding.List with all
// problems of the file, or the error of reading it.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// Parse parses and checks the content of a settings file. File is the file name in
// findings. The error is a finding.List with all problems.
func Parse(file string, data []byte) (*Settings, error) {
	doc, findings := jsonc.Parse(file, data)
	if doc == nil {
		return nil, findings.Err()
	}
	s := Default()
	findings = append(findings, doc.Decode(&s)...)
	findings = append(findings, checkValues(doc, &s)...)
	return &s, findings.Sorted().Err()
}

// checkValues checks what the field types and tags don't express.
func checkValues(doc *jsonc.Document, s *Settings) finding.List {
	var found finding.List
	report := func(path, message string) { found = append(found, doc.FindingAt(path, message)) }
	checkAddress := func(path, address string) {
		if address != "" && !isIPAndPort(address) {
			report(path, "must be an IP address and a port, such as 192.0.2.7:8080")
		}
	}
	checkAddress("caller_address", s.CallerAddress)
	checkAddress("peer_address", s.PeerAddress)
	checkAddress("status_address", s.StatusAddress)
	for i, peer := range s.Peers {
		checkAddress(elementPath("peers", i), peer)
	}
	for i, endpoint := range s.PlatformEndpoints {
		if !isBaseURL(endpoint) {
			report(elementPath("platform_endpoints", i), "must be a base URL, such as http://192.0.2.7:9000")
		}
	}
	if !slices.Contains(logLevels, s.LogLevel) {
		report("log_level", "must be debug, info, warn or error")
	}
	return append(found, checkDistinctAddresses(doc, s)...)
}

// checkDistinctAddresses checks that no two listeners have the same address.
func checkDistinctAddresses(doc *jsonc.Document, s *Settings) finding.List {
	var found finding.List
	if s.PeerAddress != "" && s.PeerAddress == s.CallerAddress {
		found = append(found, doc.FindingAt("peer_address", "must differ from caller_address"))
	}
	if s.StatusAddress != "" && (s.StatusAddress == s.CallerAddress || s.StatusAddress == s.PeerAddress) {
		found = append(found, doc.FindingAt("status_address", "must differ from caller_address and peer_address"))
	}
	return found
}

func elementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

func isIPAndPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n < 1<<16
}

func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
