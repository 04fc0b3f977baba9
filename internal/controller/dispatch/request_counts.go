package dispatch

// RequestCounts holds the numbers of waiting and running requests of one service at this
// daemon.
type RequestCounts struct {
	Waiting int
	Running int
}

// RequestCounts returns the request counts of this daemon by service ID.
func (c *Controller) RequestCounts() map[string]RequestCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]RequestCounts, len(c.queues))
	for service, q := range c.queues {
		out[service] = RequestCounts{Waiting: q.queue.TotalWaiting(), Running: q.queue.Running()}
	}
	return out
}
