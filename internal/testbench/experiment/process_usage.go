package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	kbPerMB    = 1024.0
	bytesPerKB = 1024.0
	// clockTick is the unit of processor time in /proc/PID/stat, 1/USER_HZ.
	clockTick = 10 * time.Millisecond
)

// errNoField is returned when a file of /proc has no line with the wanted name.
var errNoField = errors.New("no such field")

// processUsage holds the resources that a process uses, with the processor time rounded to clock ticks.
type processUsage struct {
	// residentMB is the resident memory.
	residentMB float64
	// descriptors is the number of open descriptors.
	descriptors int
	// cpu is the processor time since the start of the process, a multiple of clockTick.
	cpu time.Duration
}

// usage returns the resources that the balancer's process uses.
func (b *balancer) usage() (processUsage, error) {
	usage, err := readProcessUsage(b.pid())
	if err != nil {
		return processUsage{}, fmt.Errorf("balancer %s: %w", b.name, err)
	}
	return usage, nil
}

// readProcessUsage reads the resources that a process uses from /proc.
func readProcessUsage(pid int) (u processUsage, err error) {
	dir := procDir(pid)
	residentKB, err := procField(filepath.Join(dir, "status"), "VmRSS:")
	if err != nil {
		return u, err
	}
	u.residentMB = residentKB / kbPerMB
	descriptors, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return u, err
	}
	u.descriptors = len(descriptors)
	u.cpu, err = readCPUTicks(filepath.Join(dir, "stat"))
	return u, err
}

func procDir(pid int) string { return fmt.Sprintf("/proc/%d", pid) }

// readCPUTicks returns the sum of the user and system time in a stat file of /proc.
func readCPUTicks(path string) (cpu time.Duration, err error) {
	stat, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	// Only the fields after the command's name are split, because the name, in parentheses, may contain spaces. See
	// proc(5): utime and stime are fields 14 and 15 of the line, and the first field here is field 3.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userTime, systemTime = 11, 12
	for _, i := range []int{userTime, systemTime} {
		ticks, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, fmt.Errorf("stat: %w", err)
		}
		cpu += time.Duration(ticks) * clockTick
	}
	return cpu, nil
}

// procField returns the number that follows a name at the beginning of a line in a file of /proc.
func procField(path, name string) (float64, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			return strconv.ParseFloat(strings.Fields(rest)[0], 64)
		}
	}
	return 0, fmt.Errorf("%s: %s: %w", path, name, errNoField)
}

// preciseUsage holds the resources that a process has used since its start, with the processor time in nanoseconds.
type preciseUsage struct {
	cpu time.Duration
	// readKB is the number of KiB that the process has read from files and sockets.
	readKB float64
	// residentMB is the resident memory.
	residentMB float64
	// peakMB is the largest resident memory since the start.
	peakMB float64
}

// preciseUsage returns the resources that the balancer's process has used since its start.
func (b *balancer) preciseUsage() (u preciseUsage, err error) {
	usage, err := b.usage()
	if err != nil {
		return u, err
	}
	u.residentMB = usage.residentMB
	dir := procDir(b.pid())
	if u.cpu, err = readSchedulerTime(dir); err != nil {
		return u, fmt.Errorf("balancer %s: %w", b.name, err)
	}
	peakKB, err := procField(filepath.Join(dir, "status"), "VmHWM:")
	if err != nil {
		return u, err
	}
	u.peakMB = peakKB / kbPerMB
	read, err := procField(filepath.Join(dir, "io"), "rchar:")
	u.readKB = read / bytesPerKB
	return u, err
}

// readSchedulerTime returns the sum of the processor times of the current threads of a process, as the scheduler counts
// them. The time of threads that have ended is not included.
func readSchedulerTime(dir string) (cpu time.Duration, err error) {
	threads, err := os.ReadDir(filepath.Join(dir, "task"))
	if err != nil {
		return 0, err
	}
	for _, thread := range threads {
		raw, err := os.ReadFile(filepath.Join(dir, "task", thread.Name(), "schedstat"))
		if os.IsNotExist(err) {
			continue // the thread has just ended
		}
		if err != nil {
			return 0, err
		}
		running, _, _ := strings.Cut(string(raw), " ")
		nanoseconds, err := strconv.ParseInt(running, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("schedstat: %w", err)
		}
		cpu += time.Duration(nanoseconds)
	}
	return cpu, nil
}

// usageRate holds the resources that a process uses per second.
type usageRate struct {
	// cpuMs is the processor time in milliseconds.
	cpuMs float64
	// readKB is the number of KiB that the process reads from files and sockets.
	readKB float64
}

// measureRate returns the resources that the balancer uses per second while a workload runs. The workload's context
// ends after the given duration. The measurement lasts the whole duration even if the workload ends earlier.
func (b *balancer) measureRate(
	ctx context.Context, duration time.Duration, workload func(context.Context) error,
) (usageRate, error) {
	before, err := b.preciseUsage()
	if err != nil {
		return usageRate{}, err
	}
	start := time.Now()
	during, stop := context.WithTimeout(ctx, duration)
	defer stop()
	if err := workload(during); err != nil {
		return usageRate{}, err
	}
	<-during.Done()
	if ctx.Err() != nil {
		return usageRate{}, ctx.Err()
	}
	after, err := b.preciseUsage()
	elapsed := time.Since(start).Seconds()
	rate := usageRate{
		cpuMs:  (after.cpu - before.cpu).Seconds() * 1000 / elapsed,
		readKB: (after.readKB - before.readKB) / elapsed,
	}
	return rate, err
}

// idle is a workload that does nothing.
func idle(context.Context) error { return nil }

// sleep waits for a duration. If ctx ends first, it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
