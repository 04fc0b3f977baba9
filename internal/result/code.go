// Package result defines the result codes of filbertrill, an error type with such a code, and the
// encodings of that error for HTTP, server-sent events and exit codes.
package result

import "strconv"

// Code is the number of a result. The thousands digit is the category: 1 not run, 2 run and partly
// answered, 3 outcome unknown, 4 operator requests, 5 startup settings.
type Code int

// OK is the code of a request that ran and was answered completely.
const OK Code = 0

// Requests that were not run because of an error of the caller.
const (
	KeyMissing            Code = 1001
	KeyUnknown            Code = 1002
	KeyOtherAccount       Code = 1003
	BodyMalformed         Code = 1004
	BodyTooLarge          Code = 1005
	ServiceUnknown        Code = 1006
	PathUnknown           Code = 1007
	ResumeTokenInvalid    Code = 1008
	IdempotencyKeyReused  Code = 1009
	IdempotencyKeyInvalid Code = 1010
	StreamNotResumable    Code = 1011
)

// Requests that were not run because of a limit or missing capacity.
const (
	AccountQueueFull   Code = 1101
	DaemonFull         Code = 1102
	DeadlineUnmeetable Code = 1103
	AccountInFlightCap Code = 1104
	NoServerJoined     Code = 1105
	AccountOverShare   Code = 1106
	ServersBusy        Code = 1107
	PromptQuarantined  Code = 1108
	VersionUnknown     Code = 1109
	NoAllowedRegion    Code = 1110
)

// Requests that were not run because of the state of the daemon.
const (
	NoConfiguration   Code = 1201
	CutOff            Code = 1202
	Draining          Code = 1203
	ClaimsUnavailable Code = 1204
	NotReady          Code = 1205
)

// Requests that ran and were partly answered.
const (
	StreamBroken    Code = 2001
	ServerFailed    Code = 2002
	AnswerIdleLimit Code = 2003
	CallerGone      Code = 2010
)

// Requests whose outcome is unknown.
const (
	AnswerLost            Code = 3001
	ServerSilent          Code = 3002
	EarlierOutcomeUnknown Code = 3003
	Internal              Code = 3004
	EarlierRequestUnknown Code = 3005
	ServerError           Code = 3010
)

// Operator requests.
const (
	TicketMalformed         Code = 4001
	TicketNumberStale       Code = 4002
	TicketNumberConflict    Code = 4003
	TicketReferenceUnknown  Code = 4004
	AppendOutcomeUnknown    Code = 4005
	LogUnavailable          Code = 4006
	TicketNotAcceptedInTime Code = 4007
	OperatorUnauthenticated Code = 4008
	MemberUnknown           Code = 4009
)

// Startup settings.
const (
	SettingUnknown       Code = 5001
	SettingMissing       Code = 5002
	SettingInvalid       Code = 5003
	SettingContradictory Code = 5004
)

// Class states whether a request ran and was answered.
type Class string

// The classes of results.
const (
	Done    Class = "done"    // run and completely answered
	NotRun  Class = "not_run" // no byte of the request can have reached a backend server
	Partial Class = "partial" // run and partly answered
	Unknown Class = "unknown" // the request may have run
)

// Retry tells a caller whether and how to retry a request.
type Retry string

// The kinds of retry.
const (
	RetryNever        Retry = "never"
	RetrySameDaemon   Retry = "same_daemon"   // after the Retry-After time
	RetryAnotherEntry Retry = "another_entry" // at another entry address of the fleet
	RetrySameKey      Retry = "same_key"      // with the same idempotency key or ticket number
)

// Info holds the properties of a code.
type Info struct {
	Code        Code
	Name        string
	HTTPStatus  int
	Class       Class
	Retry       Retry
	Description string
}

// Info returns the properties of the code, or those of Internal if the code is not in the table.
func (c Code) Info() Info {
	if info, ok := infoByCode[c]; ok {
		return info
	}
	return infoByCode[Internal]
}

// Known reports whether the code is in the table.
func (c Code) Known() bool {
	_, ok := infoByCode[c]
	return ok
}

// Name returns the snake_case name of the code.
func (c Code) Name() string { return c.Info().Name }

// HTTPStatus returns the HTTP status of an answer with the code.
func (c Code) HTTPStatus() int { return c.Info().HTTPStatus }

// Class returns the class of the code.
func (c Code) Class() Class { return c.Info().Class }

// Retry returns whether and how to retry a request with the code.
func (c Code) Retry() Retry { return c.Info().Retry }

// Retryable reports whether the caller may retry.
func (c Code) Retryable() bool { return c.Retry() != RetryNever }

// Description returns a one-line description of the code.
func (c Code) Description() string { return c.Info().Description }

// String returns the number and the name, as in "1101 account_queue_full".
func (c Code) String() string {
	if !c.Known() {
		return strconv.Itoa(int(c)) + " unlisted"
	}
	return strconv.Itoa(int(c)) + " " + c.Name()
}

// All returns every code in ascending order.
func All() []Info {
	return append([]Info(nil), table...)
}
