package load

import (
	"container/heap"
	"time"

	"github.com/filbertrill/filbertrill/internal/cost"
)

// Caller is a closed-loop client: it sends one request after another, waiting ThinkTime after
// each answer, and starts after StartDelay.
type Caller struct {
	Account    string
	Daemon     int
	StartDelay time.Duration
	ThinkTime  time.Duration
	NextSize   func() (prompt, answer int) // lengths of the next request, in words and tokens
	// HintFactor is max_tokens divided by the true length of the answer. Values below 1 count as 1.
	HintFactor float64
}

// SimulateIdealDispatcher returns the outcomes that the callers would see with a single dispatcher
// that knows every cost in advance and whose messages take no time. It uses start-time fair
// queueing (Goyal, Vin and Cheng) over the slots. Each token takes tokenInterval.
func SimulateIdealDispatcher(callers []Caller, weights map[string]float64, slots int, tokenInterval, duration time.Duration) []*Outcome {
	s := &idealSim{
		weights:       weights,
		freeSlots:     slots,
		tokenInterval: tokenInterval,
		waiting:       map[string][]*idealRequest{},
		finishTag:     map[string]float64{},
	}
	for i := range callers {
		s.pushEvent(callers[i].StartDelay, &callers[i], nil)
	}
	epoch := time.Unix(0, 0)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(*idealEvent)
		if e.at > duration {
			break
		}
		s.handleEvent(epoch, e)
	}
	for _, o := range s.outcomes {
		if len(o.TokenTimes) == 0 {
			o.EndedAt = epoch.Add(duration)
		}
	}
	return s.outcomes
}

type idealRequest struct {
	caller       *Caller
	promptWords  int
	answerTokens int
	outcome      *Outcome
}

// idealEvent is the end of the request finished, or the next request of the caller if finished is
// nil.
type idealEvent struct {
	at       time.Duration
	seq      int
	caller   *Caller
	finished *idealRequest
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

// idealSim is the state of the discrete-event simulation of SimulateIdealDispatcher.
type idealSim struct {
	weights       map[string]float64
	freeSlots     int
	tokenInterval time.Duration
	events        idealEvents
	seq           int
	waiting       map[string][]*idealRequest
	finishTag     map[string]float64 // finish tag of the last started request, by account
	virtualTime   float64            // start tag of the last started request
	startCount    time.Duration
	outcomes      []*Outcome
}

func (s *idealSim) pushEvent(at time.Duration, caller *Caller, finished *idealRequest) {
	s.seq++
	heap.Push(&s.events, &idealEvent{at: at, seq: s.seq, caller: caller, finished: finished})
}

func (s *idealSim) handleEvent(epoch time.Time, e *idealEvent) {
	if e.finished != nil {
		s.freeSlots++
		s.pushEvent(e.at+e.caller.ThinkTime, e.caller, nil)
	} else {
		promptWords, answerTokens := e.caller.NextSize()
		outcome := &Outcome{Account: e.caller.Account, SentAt: epoch.Add(e.at), PromptTokens: promptWords + promptOverhead}
		s.outcomes = append(s.outcomes, outcome)
		s.waiting[e.caller.Account] = append(s.waiting[e.caller.Account], &idealRequest{caller: e.caller, promptWords: promptWords, answerTokens: answerTokens, outcome: outcome})
	}
	for s.freeSlots > 0 && s.startNext(epoch, e.at) {
		s.freeSlots--
	}
}

// startNext starts the first request of the waiting account with the lowest start tag and reports
// whether there was one.
func (s *idealSim) startNext(epoch time.Time, now time.Duration) bool {
	next := ""
	for account, queue := range s.waiting {
		if len(queue) == 0 {
			continue
		}
		if next == "" || s.startTag(account) < s.startTag(next) || (s.startTag(account) == s.startTag(next) && account < next) {
			next = account
		}
	}
	if next == "" {
		return false
	}
	r := s.waiting[next][0]
	s.waiting[next] = s.waiting[next][1:]
	s.virtualTime = s.startTag(next)
	s.finishTag[next] = s.virtualTime + cost.Tokens(r.outcome.PromptTokens, r.answerTokens)/s.weights[next]
	s.startCount++ // added as nanoseconds to keep the order of starts at the same instant
	for i := range r.answerTokens {
		r.outcome.TokenTimes = append(r.outcome.TokenTimes, epoch.Add(now+time.Duration(i+1)*s.tokenInterval+s.startCount))
	}
	end := now + time.Duration(r.answerTokens)*s.tokenInterval
	r.outcome.EndedAt = epoch.Add(end)
	s.pushEvent(end, r.caller, r)
	return true
}

func (s *idealSim) startTag(account string) float64 { return max(s.finishTag[account], s.virtualTime) }
