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

// metricPrefix begins each metric's name in the response to INFO.
const metricPrefix = "svc."

// errEmptyResponse says that the instance closed the connection without a response.
var errEmptyResponse = errors.New("closed without an answer")

// Query sends one command to an instance's management address and returns the lines of the response. It gives up when
// ctx ends, or after 2 s.
func Query(ctx context.Context, address, command string) (lines []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stopWatching := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stopWatching()
	if _, err := io.WriteString(conn, command+"\r\n"); err != nil {
		return nil, err
	}
	scanner := bufio.NewScanner(conn)
	for scanner.Scan() {
		lines = append(lines, strings.TrimSuffix(scanner.Text(), "\r"))
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, errEmptyResponse
	}
	return lines, nil
}

// ParseMetrics queries INFO and returns the metrics by name, without the prefix "svc.".
func ParseMetrics(ctx context.Context, address string) (map[string]uint64, error) {
	lines, err := Query(ctx, address, string(commandInfo))
	if err != nil {
		return nil, err
	}
	first, last := lines[0], lines[len(lines)-1]
	if !strings.HasPrefix(first, statusOK) || last != infoEnd {
		return nil, fmt.Errorf("INFO brings %q to %q, want 200 to EOF", first, last)
	}
	metrics := map[string]uint64{}
	for _, line := range lines[1 : len(lines)-1] {
		name, value, found := strings.Cut(strings.TrimPrefix(line, metricPrefix), "=")
		n, err := strconv.ParseUint(value, 10, 64)
		if !found || err != nil {
			return nil, fmt.Errorf("INFO brings the line %q", line)
		}
		metrics[name] = n
	}
	return metrics, nil
}
