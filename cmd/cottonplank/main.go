// Command cottonplank is a load balancer for long-lived connections. It relays each client connection to a room server
// until either side closes it or the balancer migrates it: a migration asks the client to reconnect.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// printVersion prints the version of the program's main module.
func printVersion(out io.Writer) error {
	_, err := fmt.Fprintln(out, "cottonplank", programVersion())
	return err
}

// programVersion returns the main module's version, or "unknown" in a build without build information.
func programVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
