// Package textline reads the lines of the program's text protocols. A line has at most 4 KiB and ends with CRLF.
package textline

import (
	"bufio"
	"errors"
	"strings"
)

// Errors of lines that are not well-formed.
var (
	// ErrTooLong means that the line does not fit into the reader's buffer.
	ErrTooLong = errors.New("line is longer than 4 KiB")
	// ErrMissingCR means that the line ends with a bare LF.
	ErrMissingCR = errors.New("line does not end with CRLF")
)

// Read reads one line and returns it without its line terminator. The buffer size of r limits the line's length; the
// reader of a textproto.Conn has 4 KiB. textproto.Reader.ReadLine has no such limit.
//
// Read returns ErrTooLong for a line that does not fit into the buffer. Together with ErrMissingCR it returns the
// line, because some protocols accept a bare LF. It returns other errors of r unchanged, such as io.EOF if the input
// ends before the end of the line.
func Read(r *bufio.Reader) (string, error) {
	raw, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", ErrTooLong
	}
	if err != nil {
		return "", err
	}
	text, ok := strings.CutSuffix(string(raw), "\r\n")
	if !ok {
		return strings.TrimSuffix(text, "\n"), ErrMissingCR
	}
	return text, nil
}
