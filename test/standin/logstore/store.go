// Package logstore is a in-memory stand-in for the platform's append-only log.
package logstore

import (
	"sync"
	"time"
)

// Options sets the limits of a log. A limit of 0 means no limit.
type Options struct {
	MaxRecords       int              // records retained per topic
	MaxAge           time.Duration    // age above which a record expires
	AppendsPerSecond int              // maximum append requests per second over all topics
	Now              func() time.Time // clock; time.Now if nil
}

// Counters holds the totals and the offset bounds of a topic.
type Counters struct {
	Appends     int64 `json:"appends"`
	Reads       int64 `json:"reads"`
	Records     int64 `json:"records"`
	BytesIn     int64 `json:"bytes_in"`
	BytesOut    int64 `json:"bytes_out"`
	FirstOffset int64 `json:"first_offset"`
	NextOffset  int64 `json:"next_offset"`
}

type record struct {
	value []byte
	at    time.Time
}

type topic struct {
	firstOffset int64
	records     []record
	counters    Counters
}

// store holds the records of all topics. A token bucket limits the rate of appends.
type store struct {
	mu         sync.Mutex
	opts       Options
	topics     map[string]*topic
	rateTokens float64
	lastRefill time.Time
}

// topic returns the topic with the name, without expired records, and creates it if needed.
// s.mu must be held.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	s.expireRecords(t)
	return t
}

// expireRecords drops the oldest records that exceed the limits on number and age. s.mu must be held.
func (s *store) expireRecords(t *topic) {
	expired := 0
	if s.opts.MaxRecords > 0 {
		expired = max(0, len(t.records)-s.opts.MaxRecords)
	}
	if s.opts.MaxAge > 0 {
		cutoff := s.opts.Now().Add(-s.opts.MaxAge)
		for expired < len(t.records) && t.records[expired].at.Before(cutoff) {
			expired++
		}
	}
	t.records = t.records[expired:]
	t.firstOffset += int64(expired)
}

// allowAppend takes a token from the bucket and reports whether the rate limit allows an append.
func (s *store) allowAppend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := float64(s.opts.AppendsPerSecond)
	if rate <= 0 {
		return true
	}
	now := s.opts.Now()
	if s.lastRefill.IsZero() {
		s.rateTokens = rate
	} else {
		s.rateTokens = min(rate, s.rateTokens+rate*now.Sub(s.lastRefill).Seconds())
	}
	s.lastRefill = now
	if s.rateTokens < 1 {
		return false
	}
	s.rateTokens--
	return true
}

// append adds the values to the topic and returns the offset of the first.
func (s *store) append(name string, values [][]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first := t.firstOffset + int64(len(t.records))
	for _, value := range values {
		t.records = append(t.records, record{value: value, at: s.opts.Now()})
		t.counters.BytesIn += int64(len(value))
	}
	t.counters.Appends++
	t.counters.Records += int64(len(values))
	s.expireRecords(t)
	return first
}

// read returns up to count values starting at the offset, and the first and the next offset of the
// topic. It returns no values if the offset is out of these bounds.
func (s *store) read(name string, offset int64, count int) (values [][]byte, first, next int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.counters.Reads++
	first, next = t.firstOffset, t.firstOffset+int64(len(t.records))
	if offset < first || offset > next {
		return nil, first, next
	}
	records := t.records[offset-first:]
	for _, r := range records[:min(count, len(records))] {
		values = append(values, r.value)
		t.counters.BytesOut += int64(len(r.value))
	}
	return values, first, next
}

// bounds returns the first and the next offset of the topic.
func (s *store) bounds(name string) (first, next int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	return t.firstOffset, t.firstOffset + int64(len(t.records))
}

func (s *store) counters() map[string]Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]Counters, len(s.topics))
	for name, t := range s.topics {
		s.expireRecords(t)
		c := t.counters
		c.FirstOffset = t.firstOffset
		c.NextOffset = t.firstOffset + int64(len(t.records))
		all[name] = c
	}
	return all
}
