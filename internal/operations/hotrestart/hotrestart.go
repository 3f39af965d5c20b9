// Package hotrestart passes the listening sockets of a running process to a new version that is started beside it, so
// that the accept queue outlives the old process. It knows nothing of the protocols on these sockets. The two
// processes talk over a Unix socket, in lines, with the descriptors as ancillary data.
package hotrestart

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// maxUnixPath is the longest path of a Unix socket in bytes.
const maxUnixPath = 107

// SocketPath returns the path of the Unix socket at which the process that listens at an address passes its sockets
// on.
func SocketPath(dir, listen string) string {
	return filepath.Join(dir, "cottonplank-"+strings.NewReplacer("/", "_").Replace(listen)+".sock")
}

// withShortPath calls use with a path that fits into a Unix address. It replaces the directory of a longer one by
// that directory's descriptor.
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
