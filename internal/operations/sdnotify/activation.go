package sdnotify

import (
	"os"

	"github.com/coreos/go-systemd/v22/activation"
)

// InheritedSockets returns the sockets that a supervisor has opened for this process (LISTEN_PID, LISTEN_FDS,
// LISTEN_FDNAMES), by name; of two with one name it returns the first. It removes the variables from the environment,
// because they are for this process alone.
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
