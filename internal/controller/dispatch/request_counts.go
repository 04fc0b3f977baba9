package dispatch

// Count is the number of requests of a service at this daemon.
type RequestCounts struct {
	Waiting int
	Running int
}

// Counts returns the requests at this daemon by service.
func (c *Controller) RequestCounts() map[string]RequestCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]RequestCounts, len(c.queues))
	for service, q := range c.queues {
		out[service] = RequestCounts{Waiting: q.queue.AllWaiting(), Running: q.queue.Running()}
	}
	return out
}
