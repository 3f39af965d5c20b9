package core

import (
	"go/build"
	"strings"
	"testing"
)

// The core and the decision module are independent of network protocols: they import neither package net nor another
// package of internal, such as a frontend.
func TestImportsNoNetwork(t *testing.T) {
	for _, dir := range []string{".", "../../decide"} {
		pkg, err := build.ImportDir(dir, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range pkg.Imports {
			if name == "net" || strings.HasPrefix(name, "net/") || strings.HasPrefix(name, "cottonplank/internal/") {
				t.Errorf("%s imports %s", dir, name)
			}
		}
	}
}
