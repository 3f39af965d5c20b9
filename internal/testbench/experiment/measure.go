package experiment

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Cost is what a fleet costs: the largest of all balancers, or means by room server, while nothing fills up any more.
type Cost struct {
	RSS         float64 `json:"rss_mb_most"`
	Descriptors int     `json:"descriptors_most"`
	CPU         float64 `json:"cpu_ms_a_second"` // mean of the balancers
	Probes      float64 `json:"probes_a_second_at_a_room_server"`
	Accepted    float64 `json:"connections_a_second_at_a_room_server"`
	Open        float64 `json:"open_at_a_room_server"` // probes' connections too, at the end
	OpenMost    int     `json:"open_at_a_room_server_most"`
	Calls       float64 `json:"calls_a_second_at_discovery"`
}

// reading is one look at all that Cost needs.
type reading struct {
	at                      time.Time
	cpu                     time.Duration
	probes, accepted, calls uint64
	open, openMost          int
}

// usage is what the kernel tells of a balancer's process: resident memory in MB, open descriptors, processor time.
func (b *balancer) usage() (rss float64, descriptors int, cpu time.Duration, err error) {
	dir := fmt.Sprintf("/proc/%d/", b.process.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return 0, 0, 0, err
	}
	for line := range strings.Lines(string(status)) {
		if kb, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			if rss, err = strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(kb), " kB"), 64); err != nil {
				return 0, 0, 0, err
			}
			rss /= 1024
		}
	}
	if rss == 0 {
		return 0, 0, 0, fmt.Errorf("balancer %s: no VmRSS", b.name)
	}
	fds, err := os.ReadDir(dir + "fd")
	if err != nil {
		return 0, 0, 0, err
	}
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return 0, 0, 0, err
	}
	// After the name in brackets: the 12th and 13th are the ticks, a hundredth of a second each, in user and system mode.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, i := range []int{11, 12} {
		ticks, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, 0, 0, fmt.Errorf("balancer %s: stat: %w", b.name, err)
		}
		cpu += time.Duration(ticks) * 10 * time.Millisecond
	}
	return rss, len(fds), cpu, nil
}

// look reads all counters, and notes the largest balancer.
func (r *run) look() (reading, error) {
	now := reading{at: time.Now(), calls: r.discovery.Calls()}
	for i, b := range r.balancers {
		if !r.alive[i] {
			continue
		}
		rss, descriptors, cpu, err := b.usage()
		if err != nil {
			return now, err
		}
		now.cpu += cpu
		r.result.Cost.RSS, r.result.Cost.Descriptors = max(r.result.Cost.RSS, rss), max(r.result.Cost.Descriptors, descriptors)
	}
	for _, room := range r.rooms {
		t := room.Traffic()
		now.probes, now.accepted, now.open, now.openMost = now.probes+t.Probes, now.accepted+t.Accepted, now.open+t.Open, max(now.openMost, t.Open)
	}
	return now, nil
}

// cost compares two readings of a fleet in which nobody died between them.
func (r *run) cost(from, to reading) {
	c, seconds, rooms := &r.result.Cost, to.at.Sub(from.at).Seconds(), float64(len(r.rooms))
	c.CPU = float64((to.cpu - from.cpu).Milliseconds()) / seconds / float64(len(r.balancers))
	c.Probes = float64(to.probes-from.probes) / seconds / rooms
	c.Accepted = float64(to.accepted-from.accepted) / seconds / rooms
	c.Calls = float64(to.calls-from.calls) / seconds
	c.Open, c.OpenMost = float64(to.open)/rooms, to.openMost
}
