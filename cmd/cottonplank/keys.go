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

// keyCommands make and list the keys of tokens. No secret is ever printed.
func keyCommands(command func(use, short string, do func(io.Writer) error) *cobra.Command) *cobra.Command {
	keys := &cobra.Command{Use: "keys", Short: "Make and list the keys that seal tokens", Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return errors.New("new or list is expected") }}
	var file string
	var after, life time.Duration
	add := command("new", "Add a key to a file, which is made where there is none",
		func(out io.Writer) error { return newKey(out, file, after, life) })
	add.Flags().DurationVar(&after, "after", 0, "when it begins to seal; leave all balancers the time to read it")
	add.Flags().DurationVar(&life, "for", 30*24*time.Hour, "how long it seals")
	list := command("list", "Tell what each key of a file does now",
		func(out io.Writer) error { return listKeys(out, file) })
	for _, c := range []*cobra.Command{add, list} {
		c.Flags().StringVar(&file, "file", "", "keys `file` (required)")
		c.MarkFlagRequired("file")
	}
	keys.AddCommand(add, list)
	return keys
}

func newKey(out io.Writer, file string, after, life time.Duration) error {
	if after < 0 || life < time.Minute {
		return fmt.Errorf("--after %v is below 0 or --for %v below a minute", after, life)
	}
	all, err := config.ReadKeys(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	from := time.Now().Add(after)
	key, err := token.NewKey(from, from.Add(life), rand.Reader)
	if err != nil {
		return err
	}
	all = append(all, key)
	if _, err := token.NewRing(all, token.MaxLifetime); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	raw, err := token.FormatKeys(all)
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(file, raw, 0o600, renameio.IgnoreUmask()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: key %s seals from %s to %s\n", file, key.ID, key.NotBefore.UTC().Format(time.RFC3339),
		key.NotAfter.UTC().Format(time.RFC3339))
	return err
}

func listKeys(out io.Writer, file string) error {
	keys, err := config.ReadKeys(file)
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
	for _, k := range ring.Keys() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", k.ID, ring.Use(k.ID, now), k.NotBefore.UTC().Format(time.RFC3339),
			k.NotAfter.UTC().Format(time.RFC3339))
	}
	return table.Flush()
}
