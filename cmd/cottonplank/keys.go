package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"text/tabwriter"
	"time"

	"cottonplank/internal/config"
	"cottonplank/internal/session/token"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"
)

const (
	// defaultKeyLifetime is how long a new key seals if --for is not set.
	defaultKeyLifetime = 30 * 24 * time.Hour
	// minKeyLifetime is the smallest value that --for accepts.
	minKeyLifetime = time.Minute
	// keysFileMode lets only the file's owner read the secrets. LoadKeys rejects a file that other users can access.
	keysFileMode fs.FileMode = 0o600
)

// newKeysCommand returns the commands that create and list keys. None of them prints a secret.
func newKeysCommand(out io.Writer) *cobra.Command {
	keys := &cobra.Command{
		Use:   "keys",
		Short: "Create and list sealing keys",
		Args:  noArguments,
		RunE:  func(*cobra.Command, []string) error { return errors.New("missing subcommand: expected new or list") },
	}
	var file string
	var delay, lifetime time.Duration
	create := newCommand(out, "new", "Add a sealing key to a keys file; the file is created if it does not exist",
		func(out io.Writer) error { return createKey(out, file, delay, lifetime) })
	create.Flags().DurationVar(&delay, "after", 0,
		"delay until the key seals; all balancers must have reloaded the file by then")
	create.Flags().DurationVar(&lifetime, "for", defaultKeyLifetime, "how long the key seals")
	list := newCommand(out, "list", "List the keys of a file with their current use",
		func(out io.Writer) error { return listKeys(out, file) })
	for _, command := range []*cobra.Command{create, list} {
		command.Flags().StringVar(&file, "file", "", "keys `file` (required)")
		command.MarkFlagRequired("file")
	}
	keys.AddCommand(create, list)
	return keys
}

// createKey adds a key to the file, which it creates if it does not exist. The key starts to seal after delay and
// seals for lifetime, except while another key with a later not_before seals.
func createKey(out io.Writer, file string, delay, lifetime time.Duration) error {
	if delay < 0 || lifetime < minKeyLifetime {
		return fmt.Errorf("invalid --after %v or --for %v: expected --after of at least 0s and --for of at least 1m", delay,
			lifetime)
	}
	keys, err := config.LoadKeys(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	notBefore := time.Now().Add(delay)
	key, err := token.NewKey(notBefore, notBefore.Add(lifetime), rand.Reader)
	if err != nil {
		return err
	}
	keys = append(keys, key)
	if _, err := token.NewRing(keys, token.MaxLifetime); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	raw, err := token.FormatKeys(keys)
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(file, raw, keysFileMode, renameio.IgnoreUmask()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: key %s seals from %s to %s\n", file, key.ID, formatTime(key.NotBefore),
		formatTime(key.NotAfter))
	return err
}

// listKeys prints the IDs, the current use and the validity of the file's keys. It assumes token.MaxLifetime, because
// the file contains no lifetime. A process with a shorter one may already treat a key as retired that is listed with
// "opens".
func listKeys(out io.Writer, file string) error {
	keys, err := config.LoadKeys(file)
	if err != nil {
		return err
	}
	ring, err := token.NewRing(keys, token.MaxLifetime)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KEY\tNOW\tNOT BEFORE\tNOT AFTER")
	now := time.Now()
	for _, key := range ring.Keys() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", key.ID, ring.KeyUse(key.ID, now), formatTime(key.NotBefore),
			formatTime(key.NotAfter))
	}
	return table.Flush()
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
