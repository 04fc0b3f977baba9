package ticket

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"
)

// Upper limits of ticket fields.
const (
	MaxNumber      = 1<<53 - 1                // largest integer that a float64, as used by many JSON decoders, represents exactly
	MaxWeight      = 1e6                      // weight of an account
	MaxDuration    = Duration(24 * time.Hour) // deadline and idle limit
	MaxSlots       = 1 << 16                  // concurrent requests of a backend server
	MaxQueued      = 1 << 20                  // requests of an account queued on one daemon or in flight
	MaxQueuedBytes = 1 << 40                  // request body bytes of an account queued on one daemon
)

// Default values of optional ticket fields.
const (
	DefaultWeight         = 1.0
	DefaultMaxQueued      = 256      // requests
	DefaultMaxQueuedBytes = 64 << 20 // bytes
	DefaultDeadline       = Duration(60 * time.Second)
	DefaultIdleLimit      = Duration(30 * time.Second)
)

var (
	idPattern       = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	keyHashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	yamlLinePattern = regexp.MustCompile(`line (\d+)`)
)

// Parse decodes a ticket from YAML or JSON, validates it and sets defaults for
// missing optional fields. The name is the file name in errors. The error is of
// type Problems and lists all problems by line.
func Parse(name string, data []byte) (Ticket, error) {
	d := &decoder{file: name}
	root := d.document(data)
	if root == nil {
		return Ticket{}, d.problems
	}
	t := d.ticket(root)
	if len(d.problems) > 0 {
		sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
		return Ticket{}, d.problems
	}
	return canonical(t), nil
}

// document returns the root node of the data's single document, or nil with a
// problem reported.
func (d *decoder) document(data []byte) *yaml.Node {
	if json.Valid(data) {
		// Valid JSON has tabs only between values, where YAML rejects them.
		data = bytes.ReplaceAll(data, []byte("\t"), []byte(" "))
	}
	reader := yaml.NewDecoder(bytes.NewReader(data))
	var document, next yaml.Node
	err := reader.Decode(&document)
	if errors.Is(err, io.EOF) {
		d.report(1, "", "the document is empty")
		return nil
	}
	if err != nil {
		d.reportSyntaxError(err)
		return nil
	}
	if len(document.Content) == 0 {
		d.report(1, "", "the document is empty")
		return nil
	}
	if err := reader.Decode(&next); !errors.Is(err, io.EOF) {
		d.report(max(next.Line, 1), "", "only one document is allowed")
		return nil
	}
	if alias := findAlias(&document); alias != nil {
		d.report(alias.Line, "", "aliases are not allowed")
		return nil
	}
	return document.Content[0]
}

// reportSyntaxError moves the line number from the text of a YAML error to the problem.
func (d *decoder) reportSyntaxError(err error) {
	line := 1
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	if match := yamlLinePattern.FindStringSubmatch(message); match != nil {
		line, _ = strconv.Atoi(match[1])
		message = strings.TrimPrefix(message, match[0]+": ")
	}
	d.report(line, "", "%s", message)
}

// findAlias returns the first alias node in the tree, or nil if there is none.
func findAlias(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.AliasNode {
		return node
	}
	for _, child := range node.Content {
		if found := findAlias(child); found != nil {
			return found
		}
	}
	return nil
}

func (d *decoder) ticket(root *yaml.Node) Ticket {
	o := d.object(root, "")
	if o == nil {
		return Ticket{}
	}
	t := Ticket{Number: o.ticketNumber("number"), Author: o.requiredPrintable("author"), Reason: o.requiredPrintable("reason")}
	accountIDs, keyHashes := seenValues{}, seenValues{}
	for i, node := range o.list("accounts", false) {
		t.Accounts = append(t.Accounts, d.account(node, elementPath("accounts", i), accountIDs, keyHashes))
	}
	serviceIDs := seenValues{}
	for i, node := range o.list("services", false) {
		t.Services = append(t.Services, d.service(node, elementPath("services", i), serviceIDs))
	}
	serverIDs := seenValues{}
	for i, node := range o.list("servers", false) {
		t.Servers = append(t.Servers, d.server(node, elementPath("servers", i), serverIDs))
	}
	o.reportUnknownFields()
	if len(t.Accounts)+len(t.Services)+len(t.Servers) == 0 {
		d.report(root.Line, "", "a ticket needs at least one account, service or server")
	}
	return t
}

func elementPath(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

// seenValues maps each value to the line of its first occurrence.
type seenValues map[string]int

// add records the value, or reports a duplicate at the line.
func (seen seenValues) add(d *decoder, line int, field, value string) {
	if first, exists := seen[value]; exists {
		d.report(line, field, "duplicate of line %d", first)
		return
	}
	seen[value] = line
}

// requiredPrintable reads a required string of printable characters, tabs and newlines.
func (o *object) requiredPrintable(name string) string {
	value, ok := o.requiredString(name)
	if !ok {
		return ""
	}
	for _, r := range value {
		if r != '\n' && r != '\t' && !unicode.IsPrint(r) {
			o.reportField(name, "contains the unprintable character %U", r)
			return ""
		}
	}
	return value
}

func (o *object) id(name string) (string, bool) {
	value, ok := o.requiredString(name)
	if ok && !idPattern.MatchString(value) {
		o.reportField(name, "must be 1 to 128 letters, digits or . _ : / - and start with a letter or digit")
		return "", false
	}
	return value, ok
}

// uniqueID reads the field id and reports a duplicate.
func (o *object) uniqueID(ids seenValues) string {
	id, ok := o.id("id")
	if ok {
		ids.add(o.decoder, o.fieldLine("id"), o.fieldPath("id"), id)
	}
	return id
}

func (d *decoder) account(node *yaml.Node, path string, ids, keyHashes seenValues) Account {
	o := d.object(node, path)
	if o == nil {
		return Account{}
	}
	a := Account{
		ID:             o.uniqueID(ids),
		Weight:         o.float("weight", DefaultWeight, MaxWeight),
		MaxQueued:      int(o.int("maxQueued", false, DefaultMaxQueued, 1, MaxQueued)),
		MaxQueuedBytes: o.int("maxQueuedBytes", false, DefaultMaxQueuedBytes, 1, MaxQueuedBytes),
		MaxInFlight:    int(o.int("maxInFlight", false, 0, 0, MaxQueued)),
		Presence:       enum(o, "presence", false, PresenceActive, PresenceRemoved),
	}
	a.KeyHashes = o.keyHashes(a.Presence == PresenceActive, keyHashes)
	o.reportUnknownFields()
	return a
}

func (o *object) keyHashes(required bool, seen seenValues) []string {
	hashes := []string{}
	for i, node := range o.list("keyHashes", required) {
		field := o.fieldPath(elementPath("keyHashes", i))
		if node.Kind != yaml.ScalarNode || !keyHashPattern.MatchString(node.Value) {
			o.report(node.Line, field, "must be the lower-case hexadecimal SHA-256 of an API key")
			continue
		}
		seen.add(o.decoder, node.Line, field, node.Value)
		hashes = append(hashes, node.Value)
	}
	return hashes
}

func (d *decoder) service(node *yaml.Node, path string, ids seenValues) Service {
	o := d.object(node, path)
	if o == nil {
		return Service{}
	}
	s := Service{
		ID:         o.uniqueID(ids),
		Kind:       enum(o, "kind", true, ServiceModel, ServicePlain),
		Repeatable: o.bool("repeatable"),
		Deadline:   o.duration("deadline", DefaultDeadline),
		IdleLimit:  o.duration("idleLimit", DefaultIdleLimit),
		Standby:    int(o.int("standby", false, 0, 0, MaxSlots)),
		CutOff:     enum(o, "cutOff", false, CutOffRefuse, CutOffServe),
		Scope:      enum(o, "scope", false, ScopeZone, ScopeRegion),
		Presence:   enum(o, "presence", false, PresenceActive, PresenceRemoved),
	}
	o.reportUnknownFields()
	return s
}

func (d *decoder) server(node *yaml.Node, path string, ids seenValues) Server {
	o := d.object(node, path)
	if o == nil {
		return Server{}
	}
	s := Server{ID: o.uniqueID(ids)}
	s.Service, _ = o.id("service")
	s.Address = o.address("address")
	s.Zone, _ = o.id("zone")
	s.Slots = int(o.int("slots", true, 0, 1, MaxSlots))
	s.ChecksOrders = o.bool("checksOrders")
	s.State = enum(o, "state", false, ServerJoined, ServerLeaving, ServerRemoved)
	o.reportUnknownFields()
	return s
}

// address reads a required IP address and port.
func (o *object) address(name string) string {
	text, ok := o.requiredString(name)
	if !ok {
		return ""
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		o.reportField(name, "must be an IP address and a port such as 10.0.0.7:8000")
		return ""
	}
	return address.String()
}
