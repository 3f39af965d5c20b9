// Package config reads and validates the configuration and sets its defaults. No other package reads its sources: the
// PROXY_* variables, the JSON file that PROXY_CONFIG names, the fronts file and the configuration file of a
// control-plane server. An invalid setting is reported as a FieldError with its key and, unless it is a secret, its
// value.
package config

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/httpsource"
)

// Environment variables. Each variable except PROXY_CONFIG overrides the corresponding setting in the configuration
// file.
const (
	variableConfig     = "PROXY_CONFIG" // path of the configuration file
	variableName       = "PROXY_NAME"
	variableListen     = "PROXY_LISTEN"
	variableDiscovery  = "PROXY_DISCOVERY"
	variableManagement = "PROXY_MANAGEMENT"
)

// Values of membership_mode.
const (
	modeAutomatic = "automatic" // discovery pushes its endpoint lists, over HTTP in a watch; see Config.ListPushed
	modeSubscribe = "subscribe" // the balancer asks discovery for its endpoint lists
)

// After SIGTERM the platform waits for the longest client timeout plus killDelay, and then sends SIGKILL.
const (
	clientTimeoutCap = 3 * time.Second        // a longer client timeout counts as this
	killDelay        = 700 * time.Millisecond // from the longest client timeout to SIGKILL
	exitMargin       = 300 * time.Millisecond // reserved within killDelay for the exit of the process
)

// Config is the balancer's configuration.
type Config struct {
	Name       string
	Listen     string // address at which clients are accepted
	Management string // management address; empty: off
	Discovery  string // address of the discovery service
	Settings   decide.Settings
	// ListPushed is set in membership mode automatic, in which discovery pushes its endpoint lists. By the operators'
	// rules, the balancer then counts as notified of a change, and is bound by it, as soon as discovery has it, even
	// before the balancer receives it.
	ListPushed bool
	Tenants    []string // tenants that requests may name; empty: any

	KnownEndpoints  []core.Endpoint // the last endpoint list known before the start
	KnownGeneration int64           // generation of that list

	// The limits of the process, and their division among the subsystems.
	Cores              float64
	MemoryMB           int
	DescriptorLimit    int // open file descriptors of the process
	ConnDescriptors    int // descriptors for client connections and for dials to room servers
	DialReserve        int // number of the ConnDescriptors that only dials may use
	MaxProbeConns      int // connections that are kept open for probes
	MaxManagementConns int // connections to the management address
	MaxClients         int // pending requests and established connections together

	ShutdownBudget time.Duration // time from SIGTERM within which the last connection has to be migrated
}

// configFile is the JSON file that PROXY_CONFIG names; unknown keys are ignored.
type configFile struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Management string          `json:"management"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"`
	Limits     limitsFile      `json:"limits"`
	Known      json.RawMessage `json:"known"`
	Settings   settingsFile    `json:"settings"`
}

type limitsFile struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads the configuration file that PROXY_CONFIG names; the other PROXY_* variables override it.
func Load() (*Config, error) { return load(os.Getenv) }

// Reload reads the configuration again, but ignores PROXY_DISCOVERY: that variable is the discovery address at the
// start and would override a newer one in the file. The caller applies only Config.Discovery, but an error in any
// setting fails the reload.
func Reload() (*Config, error) {
	return load(func(key string) string {
		if key == variableDiscovery {
			return ""
		}
		return os.Getenv(key)
	})
}

func load(getenv func(string) string) (*Config, error) {
	path := os.Getenv(variableConfig)
	if path == "" {
		return nil, ErrNoConfigFile
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", variableConfig, err)
	}
	return Parse(raw, getenv)
}

// Parse parses and validates the configuration file. A variable for which getenv returns a value overrides its setting.
func Parse(raw []byte, getenv func(string) string) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, decodeError(err)
	}
	c := &Config{
		Name:            firstNonEmpty(getenv(variableName), file.Name),
		Listen:          firstNonEmpty(getenv(variableListen), file.Listen),
		Discovery:       firstNonEmpty(getenv(variableDiscovery), file.Discovery),
		Management:      firstNonEmpty(getenv(variableManagement), file.Management),
		Cores:           file.Limits.Cores,
		MemoryMB:        file.Limits.MemoryMB,
		DescriptorLimit: file.Limits.Sockets,
	}
	if err := c.checkNameAndAddresses(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, invalid("seed", file.Seed, "is invalid: expected a 64-bit hexadecimal number")
	}
	if err := c.applyLimits(); err != nil {
		return nil, err
	}
	if err := c.setKnownEndpoints(file.Known); err != nil {
		return nil, err
	}
	if c.Settings, err = file.Settings.decode(); err != nil {
		return nil, InSection("settings", err)
	}
	c.Settings.Seed = seed
	c.ListPushed = file.Settings.Mode == modeAutomatic
	for _, tenant := range file.Settings.Tenants {
		c.Tenants = append(c.Tenants, tenant.Name)
	}
	c.ShutdownBudget = shutdownBudget(c.Settings.Classes)
	return c, nil
}

func firstNonEmpty(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return ""
}

func (c *Config) checkNameAndAddresses() error {
	if c.Name == "" {
		return missing("name")
	}
	if err := checkAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if c.Management == "" {
		return nil
	}
	return checkAddress("management", c.Management)
}

// setKnownEndpoints decodes the endpoint list that the process starts with, if the file has one.
func (c *Config) setKnownEndpoints(raw json.RawMessage) error {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	list, err := httpsource.DecodeListing(raw)
	if err != nil {
		return &FieldError{Key: "known", Err: err}
	}
	c.KnownEndpoints = list.Endpoints
	c.KnownGeneration = list.Generation
	return nil
}

// shutdownBudget returns how long a graceful shutdown may take, so that the process exits before the platform kills it.
func shutdownBudget(classes []decide.Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.ClientTimeout)
	}
	return min(longest, clientTimeoutCap) + killDelay - exitMargin
}
