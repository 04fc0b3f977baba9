package claim

import "time"

// Event is something that happened to a Book.
type Event interface{ event() }

// Positioned says where to begin reading. It begins the reading anew after Forgot.
type StartFound struct {
	Offset int64
	// Covered says that the records before First are all older; zero when that is not known.
	CompleteSince time.Time
}

// Asked says that a caller's request wants to run.
type RequestReceived struct{ Request Request }

// Abandoned says that the caller of an ask has gone.
type RequestCanceled struct{ Attempt AttemptID }

// Ended says that an attempt that was told to run has ended.
type RunEnded struct {
	Attempt AttemptID
	Outcome *Outcome // nil when no byte of it was sent
}

// Appended says that the batch in flight is in the log at the offset.
type Appended struct{ Offset int64 }

// AppendFailed says that the batch in flight got no answer.
type AppendFailed struct{ NotAppended bool } // Certain: it surely had no effect

// Read says which values the log holds from the wanted offset on.
type ReadCompleted struct {
	Batches []Batch // one for each offset; zero for a value that is no batch
	AtEnd   bool    // the log holds no more
}

// ReadFailed says that the log did not answer.
type ReadFailed struct{}

// Forgot says that the log no longer holds the wanted offset.
type OffsetExpired struct{}

// Tick says that time has passed.
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

// Action is something that the shell of a Book has to do.
type Action interface{ action() }

// AppendBatch asks for an append, to be answered by Appended or AppendFailed.
type AppendBatch struct{ Batch Batch }

// ReadLog asks for a read, to be answered by Read, ReadFailed or Forgot.
type ReadLog struct{ Offset int64 }

// FindFirst asks for the log's bounds, to be answered by Positioned or ReadFailed.
type FindStart struct{}

// Settle tells the answer to an ask.
type Respond struct{ Decision Decision }

func (AppendBatch) action() {}
func (ReadLog) action()     {}
func (FindStart) action()   {}
func (Respond) action()     {}

// Options are the limits of a Book. Zero values stand for the defaults.
type Options struct {
	Daemon            string
	Incarnation       uint64
	Window            time.Duration // age at which a key is no longer taken
	MaxClockSkew      time.Duration // how far two clocks may differ
	MinAppendInterval time.Duration // between the starts of two appends
	BusyPollInterval  time.Duration // between two reads while an ask waits for another attempt
	IdlePollInterval  time.Duration // between two reads while none does
	Backoff           time.Duration // before the log is asked again after a failure
	MaxOpenRequests   int           // asks that are open at once
	MaxBatchRecords   int           // records in a batch
	MaxBodyBytes      int64         // bytes of answers kept
}

// Defaults of Options.
const (
	DefaultWindow            = 10 * time.Minute
	DefaultMaxClockSkew      = 30 * time.Second
	DefaultMinAppendInterval = 20 * time.Millisecond
	DefaultBusyPollInterval  = 25 * time.Millisecond
	DefaultIdlePollInterval  = time.Second
	DefaultBackoff           = 100 * time.Millisecond
	DefaultMaxOpenRequests   = 2000
	DefaultMaxBatchRecords   = 200
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
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
