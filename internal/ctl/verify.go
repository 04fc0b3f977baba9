package ctl

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/ticket"
)

// verifyCommand checks ticket files without a daemon.
type verifyCommand struct {
	Files []string `arg:"" name:"file" help:"Ticket files in YAML or JSON."`
}

// verifyResult is the output for one file.
type verifyResult struct {
	File     string          `json:"file"`
	Valid    bool            `json:"valid"`
	Number   uint64          `json:"number,omitempty"`
	Digest   string          `json:"digest,omitempty"`
	Problems ticket.Problems `json:"problems"`
}

// Run checks every file and fails with ExitInvalid if any has problems.
func (c *verifyCommand) Run(s *session) error {
	results := make([]verifyResult, 0, len(c.Files))
	code := ExitOK
	for _, file := range c.Files {
		result, err := verify(file)
		if err != nil {
			return err
		}
		if !result.Valid {
			code = ExitInvalid
		}
		results = append(results, result)
	}
	if err := s.printVerifyResults(results); err != nil {
		return err
	}
	if code != ExitOK {
		return withExit(code, nil)
	}
	return nil
}

func verify(file string) (verifyResult, error) {
	t, err := readTicket(file)
	var problems ticket.Problems
	if errors.As(err, &problems) {
		return verifyResult{File: file, Problems: problems}, nil
	}
	if err != nil {
		return verifyResult{}, err
	}
	return verifyResult{
		File:     file,
		Valid:    true,
		Number:   t.Number,
		Digest:   ticket.Digest(t),
		Problems: ticket.Problems{},
	}, nil
}

func readTicket(file string) (ticket.Ticket, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return ticket.Ticket{}, err
	}
	return ticket.Parse(file, data)
}

func (s *session) printVerifyResults(results []verifyResult) error {
	if s.json {
		return s.printJSON(results)
	}
	for _, result := range results {
		if err := s.printVerifyResult(result); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) printVerifyResult(result verifyResult) error {
	if result.Valid {
		return s.printf("%s: valid: ticket %d, sha256 %s\n", result.File, result.Number, result.Digest)
	}
	for _, problem := range result.Problems {
		if err := s.printf("%s\n", problem); err != nil {
			return err
		}
	}
	return nil
}
