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
	// defaultKeyLifetime is how long a new key seals unless --for says otherwise.
	defaultKeyLifetime = 30 * 24 * time.Hour
	// minKeyLifetime is the least that --for may say.
	minKeyLifetime = time.Minute
	// keysFileMode keeps the secrets from everybody but the file's owner.
	keysFileMode fs.FileMode = 0o600
)

// newKeysCommand returns the commands that create and list keys. None of them prints a secret.
func newKeysCommand(out io.Writer) *cobra.Command {
	keys := &cobra.Command{
		Use:   "keys",
		Short: "Make and list the keys that seal tokens",
		Args:  noArguments,
		RunE:  func(*cobra.Command, []string) error { return errors.New("new or list is expected") },
	}
	var file string
	var delay, lifetime time.Duration
	create := newCommand(out, "new", "Add a key to a file, which is made where there is none",
		func(out io.Writer) error { return createKey(out, file, delay, lifetime) })
	create.Flags().DurationVar(&delay, "after", 0, "when it begins to seal; leave all balancers the time to read it")
	create.Flags().DurationVar(&lifetime, "for", defaultKeyLifetime, "how long it seals")
	list := newCommand(out, "list", "Tell what each key of a file does now",
		func(out io.Writer) error { return listKeys(out, file) })
	for _, command := range []*cobra.Command{create, list} {
		command.Flags().StringVar(&file, "file", "", "keys `file` (required)")
		command.MarkFlagRequired("file")
	}
	keys.AddCommand(create, list)
	return keys
}

// createKey adds a key to the file, which it creates if there is none. The key seals tokens from delay on, for
// lifetime.
func createKey(out io.Writer, file string, delay, lifetime time.Duration) error {
	if delay < 0 || lifetime < minKeyLifetime {
		return fmt.Errorf("--after %v is below 0 or --for %v below a minute", delay, lifetime)
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

// listKeys prints the file's keys and what each is used for now.
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
