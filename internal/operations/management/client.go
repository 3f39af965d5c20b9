package management

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Query makes one call at an instance's management address and returns the lines of its answer. It waits until ctx ends, 2 s
// at most.
func Query(ctx context.Context, address, call string) (lines []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	if _, err := io.WriteString(conn, call+"\r\n"); err != nil {
		return nil, err
	}
	all := bufio.NewScanner(conn)
	for all.Scan() {
		lines = append(lines, strings.TrimSuffix(all.Text(), "\r"))
	}
	if err := all.Err(); err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, errors.New("closed without an answer")
	}
	return lines, nil
}

// ParseMetrics asks for INFO and returns its counts by name, without the part svc.
func ParseMetrics(ctx context.Context, address string) (map[string]uint64, error) {
	lines, err := Query(ctx, address, string(callInfo))
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(lines[0], "200 ") || lines[len(lines)-1] != "EOF" {
		return nil, fmt.Errorf("INFO brings %q to %q, want 200 to EOF", lines[0], lines[len(lines)-1])
	}
	figures := map[string]uint64{}
	for _, line := range lines[1 : len(lines)-1] {
		name, value, ok := strings.Cut(strings.TrimPrefix(line, "svc."), "=")
		n, err := strconv.ParseUint(value, 10, 64)
		if !ok || err != nil {
			return nil, fmt.Errorf("INFO brings the line %q", line)
		}
		figures[name] = n
	}
	return figures, nil
}
