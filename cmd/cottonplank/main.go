// Command cottonplank is a load balancer for long-lived connections: it places each client connection on a room server
// and keeps it there for as long as both sides want it.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// printVersion prints the version that the program was built from.
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
