package load

import (
	"container/heap"
	"time"

	"github.com/filbertrill/filbertrill/internal/cost"
)

// Caller asks for one answer after another. It waits Think between them, and begins at Begin.
type Caller struct {
	Account    string
	Daemon     int
	StartDelay time.Duration
	ThinkTime  time.Duration
	NextSize   func() (prompt, answer int) // of the next request
	// HintFactor is what the stated limit is, in multiples of the true length; 0 stands for 1.
	HintFactor float64
}

// Ideal returns the outcomes of the callers before one exact dispatcher that knows every
// cost beforehand and whose messages take no time: start-time fair queueing over the
// slots, with each token taking the interval.
func SimulateIdealDispatcher(callers []Caller, weights map[string]float64, slots int, interval, length time.Duration) []*Outcome {
	s := &ideal{
		weights:  weights,
		free:     slots,
		interval: interval,
		waiting:  map[string][]*idealRequest{},
		finish:   map[string]float64{},
	}
	for i := range callers {
		s.push(callers[i].StartDelay, &callers[i], nil)
	}
	start := time.Unix(0, 0)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(*idealEvent)
		if e.at > length {
			break
		}
		s.step(start, e)
	}
	for _, o := range s.outcomes {
		if len(o.TokenTimes) == 0 {
			o.EndedAt = start.Add(length)
		}
	}
	return s.outcomes
}

type idealRequest struct {
	caller *Caller
	prompt int
	answer int
	out    *Outcome
}

// idealEvent is the end of a request, or a caller's next request when ended is nil.
type idealEvent struct {
	at     time.Duration
	seq    int
	caller *Caller
	ended  *idealRequest
}

type idealEvents []*idealEvent

func (h idealEvents) Len() int { return len(h) }
func (h idealEvents) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h idealEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *idealEvents) Push(x any) { *h = append(*h, x.(*idealEvent)) }

// Pop implements heap.Interface.
func (h *idealEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type ideal struct {
	weights  map[string]float64
	free     int
	interval time.Duration
	events   idealEvents
	seq      int
	waiting  map[string][]*idealRequest
	finish   map[string]float64 // virtual finish time of the account's last start
	virtual  float64            // start tag of the last start
	starts   time.Duration
	outcomes []*Outcome
}

func (s *ideal) push(at time.Duration, caller *Caller, ended *idealRequest) {
	s.seq++
	heap.Push(&s.events, &idealEvent{at: at, seq: s.seq, caller: caller, ended: ended})
}

func (s *ideal) step(start time.Time, e *idealEvent) {
	if e.ended != nil {
		s.free++
		s.push(e.at+e.caller.ThinkTime, e.caller, nil)
	} else {
		prompt, answer := e.caller.NextSize()
		out := &Outcome{Account: e.caller.Account, SentAt: start.Add(e.at), PromptTokens: prompt + promptOverhead}
		s.outcomes = append(s.outcomes, out)
		s.waiting[e.caller.Account] = append(s.waiting[e.caller.Account], &idealRequest{caller: e.caller, prompt: prompt, answer: answer, out: out})
	}
	for s.free > 0 && s.startNext(start, e.at) {
		s.free--
	}
}

// startNext starts the first request of the waiting account with the least start tag.
func (s *ideal) startNext(start time.Time, now time.Duration) bool {
	best := ""
	for account, queue := range s.waiting {
		if len(queue) == 0 {
			continue
		}
		if best == "" || s.tag(account) < s.tag(best) || (s.tag(account) == s.tag(best) && account < best) {
			best = account
		}
	}
	if best == "" {
		return false
	}
	r := s.waiting[best][0]
	s.waiting[best] = s.waiting[best][1:]
	s.virtual = s.tag(best)
	s.finish[best] = s.virtual + cost.Tokens(r.out.PromptTokens, r.answer)/s.weights[best]
	s.starts++ // nanoseconds that keep starts of the same instant in their order
	for i := range r.answer {
		r.out.TokenTimes = append(r.out.TokenTimes, start.Add(now+time.Duration(i+1)*s.interval+s.starts))
	}
	end := now + time.Duration(r.answer)*s.interval
	r.out.EndedAt = start.Add(end)
	s.push(end, r.caller, r)
	return true
}

func (s *ideal) tag(account string) float64 { return max(s.finish[account], s.virtual) }
