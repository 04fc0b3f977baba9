package fairness

import (
	"sync"
	"time"
)

// meterSeconds is the number of seconds that a Meter keeps.
const meterSeconds = 4

// Meter counts what client accounts ask for and receive at one daemon. Its methods are safe for concurrent use. The zero value is ready
// for use.
type Meter struct {
	mu       sync.Mutex
	accounts map[string]*meterRing
}

// meterRing holds the last seconds of an account.
type meterRing struct {
	seconds [meterSeconds]Second
	newest  int64 // in seconds of Unix time
}

// at returns the counts of the second, nil if it has left the ring.
func (r *meterRing) at(second int64) *Second {
	if second-r.newest >= meterSeconds {
		*r = meterRing{newest: second}
	}
	for r.newest < second {
		r.newest++
		r.seconds[r.newest%meterSeconds] = Second{}
	}
	if r.newest-second >= meterSeconds {
		return nil
	}
	return &r.seconds[second%meterSeconds]
}

// RecordAsked counts a request of the given cost in tokens.
func (m *Meter) RecordAsked(account string, cost float64, now time.Time) {
	m.update(account, now.Unix(), func(s *Second) {
		s.Asked += cost
		s.Largest = max(s.Largest, cost)
	})
}

// RecordSent counts a request that is sent to a server, each time.
func (m *Meter) RecordSent(account string, cost float64, now time.Time) {
	m.update(account, now.Unix(), func(s *Second) { s.Received += cost })
}

// RecordNotRun takes back what RecordSent has counted, for a request that the server did not run.
func (m *Meter) RecordNotRun(account string, cost float64, sentAt time.Time) {
	m.update(account, sentAt.Unix(), func(s *Second) { s.Received -= cost })
}

// RecordUnmet records that a request of the account was refused, or waited beyond its objective, between the times.
func (m *Meter) RecordUnmet(account string, from, to time.Time) {
	for second := max(from.Unix(), to.Unix()-meterSeconds+1); second <= to.Unix(); second++ {
		m.update(account, second, func(s *Second) { s.Unmet = true })
	}
}

// update changes the counts of the second, if it is kept still.
func (m *Meter) update(account string, second int64, change func(*Second)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.accounts[account]
	if !ok {
		if m.accounts == nil {
			m.accounts = make(map[string]*meterRing)
		}
		r = &meterRing{newest: second}
		m.accounts[account] = r
	}
	if s := r.at(second); s != nil {
		change(s)
	}
}

// Seconds returns the counts of the whole seconds before now that are kept, by account, and forgets accounts without any.
func (m *Meter) Seconds(now time.Time) Log {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, current := make(Log), now.Unix()
	for account, r := range m.accounts {
		if current-r.newest >= meterSeconds {
			delete(m.accounts, account)
			continue
		}
		for second := current - meterSeconds + 1; second < current; second++ {
			if s := r.at(second); s != nil && *s != (Second{}) {
				log.Add(account, second, *s)
			}
		}
	}
	return log
}
