package gateway

import "time"

const (
	// maxOldestWait is how long an account's oldest connection may wait before new ones of the
	// account are refused at once. They would wait even longer, and refusing them after that
	// wait would be late for the caller and cost the daemon more.
	maxOldestWait = maxQueueTime / 2
	// maxQueued bounds the queued connections. At 0.4 ms of processor time each, one core
	// handles as many within maxQueueTime.
	maxQueued = 256
	// backlogLength is the queue length from which the accounts of new connections are
	// inspected. A daemon that keeps up has fewer queued connections.
	backlogLength = 4
)

// fairQueue holds connections that wait to be accepted, in one FIFO queue for each account,
// and serves the accounts round-robin (fair queueing, Nagle 1987), so that no account can take
// the capacity of others. It is not safe for concurrent use.
type fairQueue[C any] struct {
	queues   map[string][]queuedConn[C]
	accounts []string // with queued connections, in the order in which they are served
	length   int
}

// queuedConn is a connection and the time at which it was queued.
type queuedConn[C any] struct {
	conn     C
	queuedAt time.Time
}

func newFairQueue[C any]() *fairQueue[C] {
	return &fairQueue[C]{queues: make(map[string][]queuedConn[C])}
}

// push queues a connection of the account. If a connection has to be refused, push returns
// it and true. It is
//   - the new one, if the account's oldest connection has waited longer than maxOldestWait;
//   - the new one, if the queue is full and no account has more connections than this one;
//   - else, if the queue is full, the newest one of the account with the most connections,
//     and the new one is queued.
func (q *fairQueue[C]) push(account string, conn C, now time.Time) (refused C, mustRefuse bool) {
	queue := q.queues[account]
	if len(queue) > 0 && now.Sub(queue[0].queuedAt) > maxOldestWait {
		return conn, true
	}
	if q.length >= maxQueued {
		longest := q.longestAccount()
		if len(q.queues[longest]) <= len(queue) {
			return conn, true
		}
		refused, mustRefuse = q.dropLast(longest), true
	}
	if len(queue) == 0 {
		q.accounts = append(q.accounts, account)
	}
	q.queues[account] = append(q.queues[account], queuedConn[C]{conn, now})
	q.length++
	return refused, mustRefuse
}

// pop removes and returns the oldest connection of the next account. ok is false if the
// queue is empty.
func (q *fairQueue[C]) pop() (next queuedConn[C], ok bool) {
	if q.length == 0 {
		return queuedConn[C]{}, false
	}
	account := q.accounts[0]
	q.accounts = q.accounts[1:]
	queue := q.queues[account]
	next = queue[0]
	q.length--
	if len(queue) == 1 {
		delete(q.queues, account)
	} else {
		q.queues[account] = queue[1:]
		q.accounts = append(q.accounts, account)
	}
	return next, true
}

// backlogged reports whether the queue is longer, or its next connection has waited longer,
// than in a daemon that keeps up.
func (q *fairQueue[C]) backlogged(now time.Time) bool {
	return q.length >= backlogLength || q.length > 0 && now.Sub(q.queues[q.accounts[0]][0].queuedAt) > overloadExitLag
}

// longestAccount returns the account with the most queued connections.
func (q *fairQueue[C]) longestAccount() string {
	longest := q.accounts[0]
	for _, account := range q.accounts {
		if len(q.queues[account]) > len(q.queues[longest]) {
			longest = account
		}
	}
	return longest
}

// dropLast removes and returns the newest connection of an account, which must have at
// least two.
func (q *fairQueue[C]) dropLast(account string) C {
	queue := q.queues[account]
	newest := queue[len(queue)-1]
	q.queues[account] = queue[:len(queue)-1]
	q.length--
	return newest.conn
}
