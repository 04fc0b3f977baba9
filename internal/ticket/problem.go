package ticket

import (
	"fmt"
	"strings"
)

// Problem is one validation error of a ticket file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`  // starts at 1
	Field   string `json:"field"` // path such as "servers[0].address"; empty for the whole document
	Message string `json:"message"`
}

// String formats the problem as file:line: field: message.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}

// Problems holds all validation errors of a ticket file, sorted by line.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
