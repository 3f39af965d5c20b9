package config

import (
	"strings"
	"testing"
)

// The management address is unset unless the file or PROXY_MANAGEMENT sets it; the variable overrides the file. With a
// management address, the descriptors reserved for it are subtracted from the descriptors for client connections.
func TestManagementAddress(t *testing.T) {
	without, _ := Parse([]byte(validConfig), emptyEnvironment)
	text := strings.Replace(validConfig, `"seed"`, `"management":"127.0.0.4:15000","seed"`, 1)
	c, err := Parse([]byte(text), emptyEnvironment)
	if err != nil || c.Management != "127.0.0.4:15000" || c.MaxManagementConns < 1 ||
		without.ConnDescriptors-c.ConnDescriptors != managementDescriptors {
		t.Errorf("management address from the file: %+v, %v", c, err)
	}
	c, err = Parse([]byte(text), func(key string) string {
		return map[string]string{"PROXY_MANAGEMENT": "127.0.0.5:15000"}[key]
	})
	if err != nil || c.Management != "127.0.0.5:15000" {
		t.Errorf("management address from the environment: %+v, %v", c, err)
	}
	_, err = Parse([]byte(strings.Replace(text, "127.0.0.4:15000", "here", 1)), emptyEnvironment)
	if err == nil || !strings.Contains(err.Error(), `management: "here"`) {
		t.Errorf("an invalid management address: error %v, want one with the key and the value", err)
	}
}

// With the descriptor limits that deployments use, the smallest of which is 256, enough descriptors remain for clients,
// and the division does not exceed the limit.
func TestDescriptorBudget(t *testing.T) {
	for _, descriptors := range []string{"256", "384", "1100"} {
		t.Run(descriptors, func(t *testing.T) {
			c, err := Parse([]byte(strings.Replace(validConfig, "1100", descriptors, 1)), emptyEnvironment)
			if err != nil {
				t.Fatal(err)
			}
			third := c.DescriptorLimit / 3 // minimum of MaxClients; each of them also needs a descriptor for its dial
			if c.ConnDescriptors > c.DescriptorLimit-spareDescriptors-c.MaxProbeConns ||
				c.ConnDescriptors-c.DialReserve-2*c.MaxClients < minRejectDescriptors ||
				c.MaxClients < third || 2*c.MaxClients > c.ConnDescriptors {
				t.Errorf("descriptors of %+v", c)
			}
		})
	}
}

// The flows of the QUIC frontend are subtracted from the descriptors for client connections. More flows than the limit
// allows are rejected.
func TestReserveFlows(t *testing.T) {
	c, err := Parse([]byte(validConfig), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	err = c.ReserveFlows(Fronts{QUIC: QUIC{Listen: "x", MaxFlows: 100}})
	if err != nil || c.ConnDescriptors != 1100-spareDescriptors-maxProbeConns-100 {
		t.Errorf("with 100 flows: %+v, %v", c, err)
	}
	err = c.ReserveFlows(Fronts{QUIC: QUIC{Listen: "x", MaxFlows: 600}})
	if err == nil || !strings.Contains(err.Error(), "quic.max_flows: 600") {
		t.Errorf("too many flows: error %v, want one with the key and the value", err)
	}
}

// The previous process and its replacement, which run beside each other during a hot restart, together stay within the
// limits. The spare descriptors of both are counted.
func TestProcessLimitsWhileTwoProcessesRun(t *testing.T) {
	for _, descriptors := range []string{"384", "472", "1100"} {
		t.Run(descriptors, func(t *testing.T) {
			text := strings.Replace(validConfig, "1100", descriptors, 1)
			text = strings.Replace(text, `"seed"`, `"management":"127.0.0.4:1","seed"`, 1)
			c, err := Parse([]byte(text), emptyEnvironment)
			if err != nil {
				t.Fatal(err)
			}
			alone, shared := c.ProcessLimits(false), c.ProcessLimits(true)
			each := c.DescriptorLimit - shared.ReservedDescriptors // maximum number of descriptors per process
			if alone.ReservedDescriptors != 0 || alone.MaxClients != c.MaxClients || 2*each > c.DescriptorLimit ||
				shared.MemoryBytes*2 > alone.MemoryBytes ||
				2*shared.MaxClients > c.ConnDescriptors-shared.ReservedDescriptors ||
				shared.MaxClients < minConnDescriptors/4 {
				t.Errorf("limits alone %+v, limits beside another process %+v, configuration %+v", alone, shared, c)
			}
		})
	}
}
