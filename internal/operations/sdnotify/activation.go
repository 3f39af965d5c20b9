package sdnotify

import (
	"os"

	"github.com/coreos/go-systemd/v22/activation"
)

// InheritedSockets are those that a supervisor has opened for this process (LISTEN_PID, LISTEN_FDS, LISTEN_FDNAMES), by name; of two
// with one name the first counts. The variables are taken out of the environment, as they are for this process alone.
func InheritedSockets() map[string]*os.File {
	all := map[string]*os.File{}
	for _, f := range activation.Files(true) {
		if _, there := all[f.Name()]; there {
			f.Close()
			continue
		}
		all[f.Name()] = f
	}
	return all
}
