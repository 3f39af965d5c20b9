// Package textline reads lines as all text protocols of the program have them: at most 4 KiB, ended by CRLF.
package textline

import (
	"bufio"
	"errors"
	"strings"
)

// Lines that break the form.
var (
	ErrLong = errors.New("line is longer than 4 KiB")
	// ErrBare comes with the line's text: not all that read lines insist on the carriage return.
	ErrBare = errors.New("line does not end with CRLF")
)

// Read reads one line without its end. textproto's ReadLine has no bound; the reader's buffer, which textproto.NewConn
// makes 4 KiB, is the bound here.
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
