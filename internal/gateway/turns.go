package gateway

import "time"

const (
	// maxHeadWait is the wait of an account's first connection from which further ones of it
	// are turned away as they come: they would wait longer, and those that wait in vain are
	// answered late and at a higher cost.
	maxHeadWait = maxAcceptWait / 2
	// maxWaiting bounds the connections that wait: a core that spends 0.4 ms on each takes as
	// many within maxAcceptWait.
	maxWaiting = 256
	// pressedWaiting is the number of connections that wait from which the accounts of further
	// ones are looked at: a daemon that keeps up has fewer.
	pressedWaiting = 4
)

// turns holds the connections that wait, each account's by arrival, and gives the accounts
// turns (fair queueing by rounds, Nagle 1987): the callers of one account can't take the
// places of others. It is not safe for concurrent use.
type turns[C any] struct {
	queues map[string][]arrival[C]
	order  []string // accounts with connections that wait; the first has the next turn
	length int
}

// arrival is a connection that waits.
type arrival[C any] struct {
	conn  C
	since time.Time
}

func newTurns[C any]() *turns[C] { return &turns[C]{queues: make(map[string][]arrival[C])} }

// push lets a connection of the account wait. It returns the connection that has to go
// instead, if there is one: the new one when its account has waited for too long already or
// has its share of the places, else the last one of the account that has most.
func (t *turns[C]) push(account string, conn C, now time.Time) (refused C, full bool) {
	queue := t.queues[account]
	if len(queue) > 0 && now.Sub(queue[0].since) > maxHeadWait {
		return conn, true
	}
	if t.length >= maxWaiting {
		longest := t.longest()
		if len(t.queues[longest]) <= len(queue) {
			return conn, true
		}
		refused, full = t.dropLast(longest), true
	}
	if len(queue) == 0 {
		t.order = append(t.order, account)
	}
	t.queues[account] = append(t.queues[account], arrival[C]{conn, now})
	t.length++
	return refused, full
}

// pop returns the first connection of the account whose turn it is.
func (t *turns[C]) pop() (a arrival[C], ok bool) {
	if t.length == 0 {
		return arrival[C]{}, false
	}
	account := t.order[0]
	t.order = t.order[1:]
	queue := t.queues[account]
	a = queue[0]
	t.length--
	if len(queue) == 1 {
		delete(t.queues, account)
	} else {
		t.queues[account] = queue[1:]
		t.order = append(t.order, account)
	}
	return a, true
}

// pressed reports whether connections wait for longer than they do in a daemon that keeps up.
func (t *turns[C]) pressed(now time.Time) bool {
	return t.length >= pressedWaiting || t.length > 0 && now.Sub(t.queues[t.order[0]][0].since) > strainLeave
}

func (t *turns[C]) longest() string {
	longest := t.order[0]
	for _, account := range t.order {
		if len(t.queues[account]) > len(t.queues[longest]) {
			longest = account
		}
	}
	return longest
}

// dropLast removes the last connection of an account with two or more.
func (t *turns[C]) dropLast(account string) C {
	queue := t.queues[account]
	last := queue[len(queue)-1]
	t.queues[account] = queue[:len(queue)-1]
	t.length--
	return last.conn
}
