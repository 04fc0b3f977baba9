package routing

import "slices"

// priorities holds the different priorities of accounts and of routes of a configuration, sorted.
type priorities struct{ accounts, routes []int }

func newPriorities(c *Config) priorities {
	var p priorities
	for _, a := range c.Accounts {
		p.accounts = append(p.accounts, a.Priority)
	}
	for _, r := range c.Routes {
		if r.Engine {
			p.routes = append(p.routes, r.Priority)
		}
	}
	slices.Sort(p.accounts)
	slices.Sort(p.routes)
	p.accounts, p.routes = slices.Compact(p.accounts), slices.Compact(p.routes)
	return p
}

// Rank returns the place of a request among all with prompts by the priority of its account and, of requests of equal accounts,
// by that of its route. 0 stands for the most urgent ones, and for all if priorities are equal. The account may be nil.
func (c *Config) Rank(r *Route, a *Account) int {
	route, _ := slices.BinarySearch(c.priorities.routes, r.Priority)
	route = min(route, max(0, len(c.priorities.routes)-1))
	if a == nil {
		return route
	}
	account, _ := slices.BinarySearch(c.priorities.accounts, a.Priority)
	return account*max(1, len(c.priorities.routes)) + route
}
