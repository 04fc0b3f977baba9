package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// knownRed is an entry of the list of tests that are known to fail ("known red").
type knownRed struct {
	Package string // path relative to the module, or full import path
	Test    string
	Run     string // command and seed that reproduce the failure
	Seen    string
	Issue   string
}

// matchesPackage reports whether the entry is for a test of the package.
func (k *knownRed) matchesPackage(importPath string) bool {
	return importPath == k.Package || strings.HasSuffix(importPath, "/"+k.Package)
}

// matches reports whether the entry is for the test or for one of its parents.
func (k *knownRed) matches(id testID) bool {
	if !k.matchesPackage(id.Package) {
		return false
	}
	return id.Test == k.Test || strings.HasPrefix(id.Test, k.Test+"/")
}

// parseKnownRed parses the list. It returns an error for an unknown, malformed or missing field.
func parseKnownRed(r io.Reader) ([]*knownRed, error) {
	var entries []*knownRed
	var current *knownRed
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if strings.HasPrefix(line, "#") {
			continue
		}
		if line == "" {
			current = nil
			continue
		}
		if current == nil {
			current = &knownRed{}
			entries = append(entries, current)
		}
		if err := current.setField(line); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	for _, e := range entries {
		if err := e.validate(); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

func (k *knownRed) setField(line string) error {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	switch field {
	case "test":
		pkg, test, ok := strings.Cut(value, " ")
		if !ok || k.Test != "" {
			return fmt.Errorf("want one package and one test, got %q", line)
		}
		k.Package = strings.TrimSuffix(strings.TrimPrefix(pkg, "./"), "/")
		k.Test = strings.TrimSpace(test)
	case "run":
		k.Run = value
	case "seen":
		k.Seen = value
	case "issue":
		k.Issue = value
	default:
		return fmt.Errorf("unknown field in %q", line)
	}
	return nil
}

func (k *knownRed) validate() error {
	for _, value := range []string{k.Package, k.Test, k.Run, k.Seen, k.Issue} {
		if value == "" {
			return fmt.Errorf("entry with an empty or missing field: %+v", *k)
		}
	}
	return nil
}
