package gateway

import "time"

const (
	// maxHeadWait is the wait of an account's first connection from which further ones of it
	// are turned away as they come: they would wait longer, and those that wait in vain are
	// answered late and at a higher cost.
	maxOldestWait = maxQueueTime / 2
	// maxWaiting bounds the connections that wait: a core that spends 0.4 ms on each takes as
	// many within maxAcceptWait.
	maxQueued = 256
	// pressedWaiting is the number of connections that wait from which the accounts of further
	// ones are looked at: a daemon that keeps up has fewer.
	backlogLength = 4
)

// turns holds the connections that wait, each account's by arrival, and gives the accounts
// turns (fair queueing by rounds, Nagle 1987): the callers of one account can't take the
// places of others. It is not safe for concurrent use.
type fairQueue[C any] struct {
	queues   map[string][]queuedConn[C]
	accounts []string // accounts with connections that wait; the first has the next turn
	length   int
}

// arrival is a connection that waits.
type queuedConn[C any] struct {
	conn     C
	queuedAt time.Time
}

func newFairQueue[C any]() *fairQueue[C] {
	return &fairQueue[C]{queues: make(map[string][]queuedConn[C])}
}

// push lets a connection of the account wait. It returns the connection that has to go
// instead, if there is one: the new one when its account has waited for too long already or
// has its share of the places, else the last one of the account that has most.
func (t *fairQueue[C]) push(account string, conn C, now time.Time) (refused C, mustRefuse bool) {
	queue := t.queues[account]
	if len(queue) > 0 && now.Sub(queue[0].queuedAt) > maxOldestWait {
		return conn, true
	}
	if t.length >= maxQueued {
		longest := t.longestAccount()
		if len(t.queues[longest]) <= len(queue) {
			return conn, true
		}
		refused, mustRefuse = t.dropLast(longest), true
	}
	if len(queue) == 0 {
		t.accounts = append(t.accounts, account)
	}
	t.queues[account] = append(t.queues[account], queuedConn[C]{conn, now})
	t.length++
	return refused, mustRefuse
}

// pop returns the first connection of the account whose turn it is.
func (t *fairQueue[C]) pop() (a queuedConn[C], ok bool) {
	if t.length == 0 {
		return queuedConn[C]{}, false
	}
	account := t.accounts[0]
	t.accounts = t.accounts[1:]
	queue := t.queues[account]
	a = queue[0]
	t.length--
	if len(queue) == 1 {
		delete(t.queues, account)
	} else {
		t.queues[account] = queue[1:]
		t.accounts = append(t.accounts, account)
	}
	return a, true
}

// pressed reports whether connections wait for longer than they do in a daemon that keeps up.
func (t *fairQueue[C]) backlogged(now time.Time) bool {
	return t.length >= backlogLength || t.length > 0 && now.Sub(t.queues[t.accounts[0]][0].queuedAt) > overloadExitLag
}

func (t *fairQueue[C]) longestAccount() string {
	longest := t.accounts[0]
	for _, account := range t.accounts {
		if len(t.queues[account]) > len(t.queues[longest]) {
			longest = account
		}
	}
	return longest
}

// dropLast removes the last connection of an account with two or more.
func (t *fairQueue[C]) dropLast(account string) C {
	queue := t.queues[account]
	last := queue[len(queue)-1]
	t.queues[account] = queue[:len(queue)-1]
	t.length--
	return last.conn
}
