package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// exchangeTimeout is the timeout of each exchange with the peer process.
	exchangeTimeout = time.Second
	// maxSockets is the maximum number of sockets in one message.
	maxSockets = 8
	// maxLearnedLines is the maximum number of lines of learned state. A process that receives more uses none of them.
	maxLearnedLines = 4096
	// messageBufferSize is the size in bytes of the buffer for the line that names the sockets.
	messageBufferSize = 4096
)

// The lines that the two processes exchange. They must never change, because the two processes may be of different
// versions.
const (
	// socketsRequest is sent by the replacement process to request the sockets.
	socketsRequest = "TAKE 1"
	// socketsPrefix begins the answer to socketsRequest. The names of the sockets follow; their descriptors are ancillary
	// data.
	socketsPrefix = "SOCKETS"
	// learnedRequest is sent by the replacement process to request the learned state.
	learnedRequest = "LEARNED"
	// learnedPrefix begins each line of learned state in the answer to learnedRequest.
	learnedPrefix = "L "
	// endOfLearned is the last line of the answer to learnedRequest.
	endOfLearned = "END"
	// servingNotice is sent by the replacement process once it accepts connections. It has no answer.
	servingNotice = "SERVING"

	lineEnd = "\r\n"
)

// Errors of an exchange with the peer process.
var (
	// ErrMalformedLine reports a line that the protocol does not allow at this point.
	ErrMalformedLine = errors.New("malformed line")
	// ErrDescriptorCount reports that the names and the descriptors of an answer differ in number.
	ErrDescriptorCount = errors.New("names and descriptors differ in number")
	// ErrTooManyLines reports that the learned state has more than maxLearnedLines lines.
	ErrTooManyLines = errors.New("too many lines of learned state")
	// ErrOtherUser reports that the peer process does not have this process's effective user ID.
	ErrOtherUser = errors.New("the other process belongs to another user")
)

// parseSocketNames returns the names of the sockets in a line that begins with socketsPrefix. The names have to be
// unique. All errors wrap ErrMalformedLine.
func parseSocketNames(text string) ([]string, error) {
	text, ok := strings.CutSuffix(text, "\r\n")
	words := strings.Split(text, " ")
	if !ok || words[0] != socketsPrefix || len(words) < 2 || len(words) > 1+maxSockets {
		return nil, fmt.Errorf("%w: expected SOCKETS and the names of the sockets, found %q", ErrMalformedLine, text)
	}
	seen := map[string]bool{}
	for _, name := range words[1:] {
		if name == "" || seen[name] || strings.ContainsAny(name, "\r\n") {
			return nil, fmt.Errorf("%w: invalid or duplicate socket name in %q", ErrMalformedLine, text)
		}
		seen[name] = true
	}
	return words[1:], nil
}

// parseDescriptors returns the descriptors in the ancillary data of a message, as files.
func parseDescriptors(oob []byte) (files []*os.File, err error) {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, fmt.Errorf("control message: %w", err)
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			continue // ancillary data of another kind
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "socket "+strconv.Itoa(len(files))))
		}
	}
	return files, nil
}

// checkPeerUser returns an error that wraps ErrOtherUser unless the peer process has this process's effective user ID.
// The Unix socket may be in a directory that everybody may write to, where another user's process could listen at the
// same path.
func checkPeerUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	var peerErr error
	if err := raw.Control(func(fd uintptr) {
		peer, peerErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if peerErr == nil && int(peer.Uid) != os.Geteuid() {
		peerErr = fmt.Errorf("%w: %d", ErrOtherUser, peer.Uid)
	}
	return peerErr
}
