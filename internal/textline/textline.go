// Package textline reads the lines of the program's text protocols: at most 4 KiB each, terminated by CRLF.
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

// Read reads one line and returns it without its line terminator. The buffer of r bounds the line's length;
// the reader of a textproto.Conn has 4 KiB. (textproto.Reader.ReadLine has no bound.)
//
// Read returns ErrTooLong for a line that is too long. With ErrMissingCR it also returns the line, as some protocols
// accept a bare LF. Other errors are those of r, such as io.EOF if the input ends before the line does.
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
