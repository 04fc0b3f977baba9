package fairness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
)

// The message and the attributes of the log line that a daemon writes each second.
const (
	LogMessage       = "Tokens of accounts."
	DaemonAttribute  = "daemon"
	SecondsAttribute = "seconds"
)

// maxLineBytes bounds the lines that ReadLogs accepts.
const maxLineBytes = 4 << 20

// MarshalJSON returns an array of the tokens asked for, received and of the largest request, and 1 for unmet requests.
func (s Second) MarshalJSON() ([]byte, error) {
	return json.Marshal([]int64{int64(s.Asked), int64(s.Received), int64(s.Largest), int64(unmetNumber(s.Unmet))})
}

// UnmarshalJSON is the inverse of MarshalJSON.
func (s *Second) UnmarshalJSON(data []byte) error {
	var fields [4]int64
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	*s = Second{float64(fields[0]), float64(fields[1]), float64(fields[2]), fields[3] != 0}
	return nil
}

func unmetNumber(unmet bool) int {
	if unmet {
		return 1
	}
	return 0
}

// String returns the log in JSON.
func (l Log) String() string {
	text, _ := json.Marshal(l) // fails for no value of the type
	return string(text)
}

// logLine matches the line of LogMessage in text format, whatever stands before it.
var logLine = regexp.MustCompile(regexp.QuoteMeta(LogMessage) + `" ` + DaemonAttribute + `=(\S+) ` + SecondsAttribute + `=("(?:[^"\\]|\\.)*")`)

// Read holds what ReadLogs has found.
type Read struct {
	Log     Log
	Daemons int // that have written a line
	// Missing is the number of seconds of daemons that no line tells of, between the first and the last one of each.
	Missing int
	Broken  int // lines that can't be read, since they are cut
}

// ReadLogs adds up the lines of LogMessage in the logs of any number of daemons. A second that several lines of a daemon tell of counts
// as in the last one.
func ReadLogs(readers ...io.Reader) (Read, error) {
	byDaemon := make(map[string]map[int64]map[string]Second)
	broken := 0
	for _, r := range readers {
		n, err := readLog(r, byDaemon)
		if err != nil {
			return Read{}, err
		}
		broken += n
	}
	read := Read{Log: make(Log), Daemons: len(byDaemon), Broken: broken}
	for _, seconds := range byDaemon {
		var first, last int64
		for second, accounts := range seconds {
			if first == 0 || second < first {
				first = second
			}
			last = max(last, second)
			for account, s := range accounts {
				read.Log.Add(account, second, s)
			}
		}
		read.Missing += int(last-first) + 1 - len(seconds)
	}
	return read, nil
}

// readLog adds the seconds of one log. It returns the number of lines that can't be read.
func readLog(r io.Reader, byDaemon map[string]map[int64]map[string]Second) (broken int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), []byte(LogMessage)) {
			continue
		}
		daemon, log, ok := parseLine(scanner.Bytes())
		if !ok {
			broken++
			continue
		}
		if byDaemon[daemon] == nil {
			byDaemon[daemon] = make(map[int64]map[string]Second)
		}
		addSeconds(byDaemon[daemon], log)
	}
	return broken, errors.Wrap(scanner.Err(), "read log")
}

// parseLine returns what a line of LogMessage tells.
func parseLine(line []byte) (daemon string, log Log, ok bool) {
	match := logLine.FindSubmatch(line)
	if match == nil {
		return "", nil, false
	}
	text, err := strconv.Unquote(string(match[2]))
	if err != nil {
		return "", nil, false
	}
	err = json.Unmarshal([]byte(text), &log)
	return string(match[1]), log, err == nil
}

// addSeconds replaces the seconds of a daemon that the log tells of.
func addSeconds(seconds map[int64]map[string]Second, log Log) {
	told := make(map[int64]map[string]Second)
	for account, bySecond := range log {
		for second, s := range bySecond {
			if told[second] == nil {
				told[second] = make(map[string]Second)
			}
			told[second][account] = s
		}
	}
	for second, accounts := range told {
		seconds[second] = accounts
	}
}
