package sdnotify

import (
	"os"

	"github.com/coreos/go-systemd/v22/activation"
)

// InheritedSockets returns the sockets that a supervisor has opened for this process, by name. The supervisor describes
// them in the environment variables LISTEN_PID, LISTEN_FDS and LISTEN_FDNAMES. InheritedSockets removes these
// variables, because they must not reach child processes. If two sockets have the same name, it closes the second.
func InheritedSockets() map[string]*os.File {
	sockets := map[string]*os.File{}
	for _, f := range activation.Files(true) {
		if _, known := sockets[f.Name()]; known {
			f.Close()
			continue
		}
		sockets[f.Name()] = f
	}
	return sockets
}
