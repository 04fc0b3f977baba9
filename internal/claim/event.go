package claim

import "time"

// Event is an input of Table.Step.
type Event interface{ event() }

// StartFound is the response to FindStart. It sets the offset of the first record to read and
// clears the state of all keys.
type StartFound struct {
	Offset int64
	// CompleteSince is a time before which all records below Offset were created, or zero if
	// none is known.
	CompleteSince time.Time
}

// RequestReceived reports a new request.
type RequestReceived struct{ Request Request }

// RequestCanceled reports that the caller of a request has disconnected.
type RequestCanceled struct{ Attempt AttemptID }

// RunEnded reports the end of an attempt that was allowed to run.
type RunEnded struct {
	Attempt AttemptID
	Outcome *Outcome // nil if nothing was sent to a backend server
}

// Appended reports that the batch in flight was appended at the offset.
type Appended struct{ Offset int64 }

// AppendFailed reports that the append of the batch in flight failed.
type AppendFailed struct{ NotAppended bool } // NotAppended: the append is known to have had no effect

// ReadCompleted reports the values from the offset of a ReadLog on.
type ReadCompleted struct {
	Batches []Batch // one for each offset
	AtEnd   bool    // the read reached the end of the log
}

// ReadFailed reports that a ReadLog or FindStart failed.
type ReadFailed struct{}

// OffsetExpired reports that the log no longer holds the offset of a ReadLog.
type OffsetExpired struct{}

// Tick reports that time has passed.
type Tick struct{}

func (StartFound) event()      {}
func (RequestReceived) event() {}
func (RequestCanceled) event() {}
func (RunEnded) event()        {}
func (Appended) event()        {}
func (AppendFailed) event()    {}
func (ReadCompleted) event()   {}
func (ReadFailed) event()      {}
func (OffsetExpired) event()   {}
func (Tick) event()            {}

// Action is an output of Table.Step, to be performed by its caller.
type Action interface{ action() }

// AppendBatch appends a batch to the log. The result is Appended or AppendFailed.
type AppendBatch struct{ Batch Batch }

// ReadLog reads the log from an offset on. The result is ReadCompleted, ReadFailed or
// OffsetExpired.
type ReadLog struct{ Offset int64 }

// FindStart finds the offset from which to read. The result is StartFound or ReadFailed.
type FindStart struct{}

// Respond sends the decision on a request to its caller.
type Respond struct{ Decision Decision }

func (AppendBatch) action() {}
func (ReadLog) action()     {}
func (FindStart) action()   {}
func (Respond) action()     {}

// Options configure a Table. Durations and limits that are zero get their defaults.
type Options struct {
	Daemon            string
	Incarnation       uint64
	Window            time.Duration // deduplication window: maximum age of a key
	MaxClockSkew      time.Duration // maximum difference between two clocks
	MinAppendInterval time.Duration // between the starts of two appends
	BusyPollInterval  time.Duration // between two reads while a request waits for another attempt
	IdlePollInterval  time.Duration // between two reads while no request waits
	Backoff           time.Duration // before the next call after a failed one
	MaxOpenRequests   int           // open requests at once
	MaxBatchRecords   int           // records in a batch
	MaxBatchBytes     int           // size of the answers in a batch of several records
	MaxBodyBytes      int64         // total size of the stored answer bodies
}

// Defaults for Options.
const (
	DefaultWindow            = 10 * time.Minute
	DefaultMaxClockSkew      = 30 * time.Second
	DefaultMinAppendInterval = 20 * time.Millisecond
	DefaultBusyPollInterval  = 25 * time.Millisecond
	DefaultIdlePollInterval  = time.Second
	DefaultBackoff           = 100 * time.Millisecond
	DefaultMaxOpenRequests   = 2000
	DefaultMaxBatchRecords   = 200
	DefaultMaxBatchBytes     = 1 << 20
	DefaultMaxBodyBytes      = 16 << 20
)

func (o *Options) applyDefaults() {
	setDefault(&o.Window, DefaultWindow)
	setDefault(&o.MaxClockSkew, DefaultMaxClockSkew)
	setDefault(&o.MinAppendInterval, DefaultMinAppendInterval)
	setDefault(&o.BusyPollInterval, DefaultBusyPollInterval)
	setDefault(&o.IdlePollInterval, DefaultIdlePollInterval)
	setDefault(&o.Backoff, DefaultBackoff)
	setDefault(&o.MaxOpenRequests, DefaultMaxOpenRequests)
	setDefault(&o.MaxBatchRecords, DefaultMaxBatchRecords)
	setDefault(&o.MaxBatchBytes, DefaultMaxBatchBytes)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
