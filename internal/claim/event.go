package claim

import "time"

// Event is something that happened to a Book.
type Event interface{ event() }

// Positioned says where to begin reading. It begins the reading anew after Forgot.
type Positioned struct {
	First int64
	// Covered says that the records before First are all older; zero when that is not known.
	Covered time.Time
}

// Asked says that a caller's request wants to run.
type Asked struct{ Ask Ask }

// Abandoned says that the caller of an ask has gone.
type Abandoned struct{ Attempt Attempt }

// Ended says that an attempt that was told to run has ended.
type Ended struct {
	Attempt Attempt
	Outcome *Outcome // nil when no byte of it was sent
}

// Appended says that the batch in flight is in the log at the offset.
type Appended struct{ Offset int64 }

// AppendFailed says that the batch in flight got no answer.
type AppendFailed struct{ Certain bool } // Certain: it surely had no effect

// Read says which values the log holds from the wanted offset on.
type Read struct {
	Batches []Batch // one for each offset; zero for a value that is no batch
	AtEnd   bool    // the log holds no more
}

// ReadFailed says that the log did not answer.
type ReadFailed struct{}

// Forgot says that the log no longer holds the wanted offset.
type Forgot struct{}

// Tick says that time has passed.
type Tick struct{}

func (Positioned) event()   {}
func (Asked) event()        {}
func (Abandoned) event()    {}
func (Ended) event()        {}
func (Appended) event()     {}
func (AppendFailed) event() {}
func (Read) event()         {}
func (ReadFailed) event()   {}
func (Forgot) event()       {}
func (Tick) event()         {}

// Action is something that the shell of a Book has to do.
type Action interface{ action() }

// AppendBatch asks for an append, to be answered by Appended or AppendFailed.
type AppendBatch struct{ Batch Batch }

// ReadLog asks for a read, to be answered by Read, ReadFailed or Forgot.
type ReadLog struct{ From int64 }

// FindFirst asks for the log's bounds, to be answered by Positioned or ReadFailed.
type FindFirst struct{}

// Settle tells the answer to an ask.
type Settle struct{ Verdict Verdict }

func (AppendBatch) action() {}
func (ReadLog) action()     {}
func (FindFirst) action()   {}
func (Settle) action()      {}

// Options are the limits of a Book. Zero values stand for the defaults.
type Options struct {
	Daemon      string
	Incarnation uint64
	Window      time.Duration // age at which a key is no longer taken
	Skew        time.Duration // how far two clocks may differ
	MinInterval time.Duration // between the starts of two appends
	PollBusy    time.Duration // between two reads while an ask waits for another attempt
	PollIdle    time.Duration // between two reads while none does
	Backoff     time.Duration // before the log is asked again after a failure
	MaxAsks     int           // asks that are open at once
	MaxBatch    int           // records in a batch
	MaxBodies   int64         // bytes of answers kept
}

// Defaults of Options.
const (
	DefaultWindow      = 10 * time.Minute
	DefaultSkew        = 30 * time.Second
	DefaultMinInterval = 20 * time.Millisecond
	DefaultPollBusy    = 25 * time.Millisecond
	DefaultPollIdle    = time.Second
	DefaultBackoff     = 100 * time.Millisecond
	DefaultMaxAsks     = 2000
	DefaultMaxBatch    = 200
	DefaultMaxBodies   = 16 << 20
)

func (o *Options) applyDefaults() {
	setDefault(&o.Window, DefaultWindow)
	setDefault(&o.Skew, DefaultSkew)
	setDefault(&o.MinInterval, DefaultMinInterval)
	setDefault(&o.PollBusy, DefaultPollBusy)
	setDefault(&o.PollIdle, DefaultPollIdle)
	setDefault(&o.Backoff, DefaultBackoff)
	setDefault(&o.MaxAsks, DefaultMaxAsks)
	setDefault(&o.MaxBatch, DefaultMaxBatch)
	setDefault(&o.MaxBodies, DefaultMaxBodies)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
