package forward

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// defaultBodyMemory is the limit of a daemon without a memory limit.
	defaultBodyMemory = 48 << 20
	// smallBodyBytes is the size up to which a body may use all of the memory.
	smallBodyBytes = 256 << 10
	// largeBodyShare is the share of the memory that several larger bodies may use together. They must not keep out all usual
	// requests.
	largeBodyShare = 0.75
)

// errBodyMemory ends the reading of bodies for which no memory is left.
var errBodyMemory = errors.New("request bodies have reached their limit of memory")

// bodyMemory is the memory for the bodies of requests in progress. It is reserved before a body is read. Its methods are safe
// for concurrent use.
type bodyMemory struct {
	limit int64

	mu    sync.Mutex
	used  int64
	large int64 // of used, by bodies of more than smallBodyBytes
}

// bodyReservation is the memory of one body.
type bodyReservation struct {
	memory  *bodyMemory
	bytes   int64
	holders int  // beside the request, guarded by the lock of memory
	ended   bool // the request has
}

// grow reserves memory for a body of up to so many bytes in all. It returns errBodyMemory if they are not available; nothing is
// reserved in addition then.
func (r *bodyReservation) grow(bytes int64) error {
	if bytes <= r.bytes {
		return nil
	}
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	used, large := m.used+bytes-r.bytes, m.large
	if bytes > smallBodyBytes {
		large += bytes - r.largeBytes()
	}
	onlyLarge := m.large == r.largeBytes()
	if used > m.limit || !onlyLarge && large > int64(largeBodyShare*float64(m.limit)) {
		return errBodyMemory
	}
	m.used, m.large, r.bytes = used, large, bytes
	return nil
}

// hold keeps the reservation until the function that it returns is called, once, and release was called.
func (r *bodyReservation) hold() (release func()) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.holders++
	return func() {
		r.memory.mu.Lock()
		defer r.memory.mu.Unlock()
		r.holders--
		r.releaseUnused()
	}
}

// release ends the reservation, unless it is held.
func (r *bodyReservation) release() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.ended = true
	r.releaseUnused()
}

// releaseUnused ends a reservation that nobody holds. The caller holds the lock.
func (r *bodyReservation) releaseUnused() {
	if !r.ended || r.holders > 0 {
		return
	}
	r.memory.used -= r.bytes
	r.memory.large -= r.largeBytes()
	r.bytes = 0
}

// largeBytes returns the bytes that count as those of a large body.
func (r *bodyReservation) largeBytes() int64 {
	if r.bytes > smallBodyBytes {
		return r.bytes
	}
	return 0
}

// readAll reads a body of unknown length to its end. It reserves memory as the body grows.
func (r *bodyReservation) readAll(body io.Reader) ([]byte, error) {
	const firstBytes = 4 << 10
	if err := r.grow(firstBytes); err != nil {
		return nil, err
	}
	data := make([]byte, 0, firstBytes)
	for {
		if len(data) == cap(data) {
			if err := r.grow(2 * int64(cap(data))); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, 2*cap(data)), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
