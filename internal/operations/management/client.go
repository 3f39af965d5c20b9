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

// errEmptyResponse reports that the instance closed the connection without a response.
var errEmptyResponse = errors.New("closed without an answer")

// Query sends one command to the management address of an instance and returns the lines of the response. It returns an
// error if ctx ends, or 2 s pass, before the response is complete.
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

// QueryMetrics sends INFO to the management address of an instance with Query and returns the metrics of the response
// by name, without the prefix "svc.". It returns an error if Query does, or if the response is not a complete INFO
// response.
func QueryMetrics(ctx context.Context, address string) (map[string]uint64, error) {
	lines, err := Query(ctx, address, string(commandInfo))
	if err != nil {
		return nil, err
	}
	first, last := lines[0], lines[len(lines)-1]
	if !strings.HasPrefix(first, statusOK) || last != infoEnd {
		return nil, fmt.Errorf("malformed response to INFO: first line %q, last line %q, expected 200 and EOF", first, last)
	}
	metrics := map[string]uint64{}
	for _, line := range lines[1 : len(lines)-1] {
		name, value, found := strings.Cut(strings.TrimPrefix(line, metricPrefix), "=")
		n, err := strconv.ParseUint(value, 10, 64)
		if !found || err != nil {
			return nil, fmt.Errorf("malformed response to INFO: line %q, expected svc.NAME=NUMBER", line)
		}
		metrics[name] = n
	}
	return metrics, nil
}
