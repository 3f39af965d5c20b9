// Package textline reads the lines of the program's text protocols: at most 4 KiB each, terminated by CRLF.
package textline

import (
	"bufio"
	"errors"
	"strings"
)

// Errors of lines that are not well-formed.
var (
	// ErrLong means that the line does not fit into the reader's buffer.
	ErrLong = errors.New("line is longer than 4 KiB")
	// ErrBare means that the line ends with a bare LF.
	ErrBare = errors.New("line does not end with CRLF")
)

// Read reads one line and returns it without its line terminator. The buffer of r bounds the line's length;
// the reader of a textproto.Conn has 4 KiB. (textproto.Reader.ReadLine has no bound.)
//
// Read returns ErrLong for a line that is too long. With ErrBare it also returns the line, as some protocols
// accept a bare LF. Other errors are those of r, such as io.EOF if the input ends before the line does.
func Read(r *bufio.Reader) (string, error) {
	raw, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", ErrLong
	}
	if err != nil {
		return "", err
	}
	text, ok := strings.CutSuffix(string(raw), "\r\n")
	if !ok {
		return strings.TrimSuffix(text, "\n"), ErrBare
	}
	return text, nil
}
