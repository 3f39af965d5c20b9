// Package hotrestart passes the TCP listeners and UDP sockets of a running process, the previous process, to a
// replacement process that is started beside it, often of another version. The accept queues thus outlive the previous
// process. The previous process also sends its learned state of the room servers. The package depends neither on the
// protocols that are spoken over the sockets nor on the form of that state. The two processes exchange lines of text
// over a Unix socket, with the descriptors as ancillary data.
package hotrestart

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// maxUnixPath is the maximum length of the path of a Unix socket, in bytes.
const maxUnixPath = 107

// SocketPath returns the path of the Unix socket of a process, at which it passes its sockets to a replacement process.
// listen is the address at which the process accepts clients.
func SocketPath(dir, listen string) string {
	return filepath.Join(dir, "cottonplank-"+strings.NewReplacer("/", "_").Replace(listen)+".sock")
}

// withShortPath calls use with a path that fits into the address of a Unix socket. If path is too long, it replaces the
// directory by the path of the directory's descriptor below /proc/self/fd.
func withShortPath(path string, use func(path string) error) error {
	if len(path) <= maxUnixPath {
		return use(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}
