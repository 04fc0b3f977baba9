package dispatch

// Count is the number of requests of a service at this daemon.
type Count struct {
	Waiting int
	Running int
}

// Counts returns the requests at this daemon by service.
func (c *Controller) Counts() map[string]Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Count, len(c.queues))
	for service, q := range c.queues {
		out[service] = Count{Waiting: q.queue.TotalWaiting(), Running: q.queue.Running()}
	}
	return out
}
