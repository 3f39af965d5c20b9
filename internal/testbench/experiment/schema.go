package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// load reads an experiment's file and parses it. Errors name the file.
func load[E any](path string, parse func([]byte) (E, error)) (e E, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return e, err
	}
	if e, err = parse(raw); err != nil {
		return e, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// decode validates JSON against a schema and decodes it into e. Fields of absent keys keep their values.
func decode(raw []byte, schemaName string, schemaText []byte, e any) error {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("invalid JSON: %w", err)
	}
	schema, err := compileSchema(schemaName, schemaText)
	if err != nil {
		return err
	}
	if err := schema.Validate(value); err != nil {
		return describeViolations(err)
	}
	return json.Unmarshal(raw, e)
}

func compileSchema(name string, text []byte) (*jsonschema.Schema, error) {
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, schema); err != nil {
		return nil, err
	}
	return compiler.Compile(name)
}

// describeViolations returns an error with a line for each violation of a schema: the key and what is wrong with it.
func describeViolations(err error) error {
	var violations *jsonschema.ValidationError
	if !errors.As(err, &violations) {
		return err
	}
	var lines []string
	for _, unit := range violations.BasicOutput().Errors {
		if unit.Error == nil {
			continue
		}
		key := strings.TrimPrefix(unit.InstanceLocation, "/")
		if key == "" {
			key = "the experiment"
		}
		lines = append(lines, fmt.Sprintf("%s: %s", key, unit.Error))
	}
	return errors.New(strings.Join(lines, "\n"))
}
