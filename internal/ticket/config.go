package ticket

// Config is a fixed view of the objects in use. Any number of goroutines may
// read it. Callers must not change the slices it returns.
type Config struct {
	accounts           map[string]Account
	services           map[string]Service
	servers            map[string]Server
	accountIDByKeyHash map[string]string // account by key hash
	serversByService   map[string][]Server
	sorted             sortedObjects
}

// configLists holds the objects in the order of identifiers.
type sortedObjects struct {
	accounts []Account
	services []Service
	servers  []Server
}

// Config returns a view of the objects in use. It returns the same view until
// the objects change.
func (s *State) Config() *Config {
	if s.config == nil {
		s.config = s.newConfig()
	}
	return s.config
}

func (s *State) newConfig() *Config {
	c := &Config{
		accounts:           map[string]Account{},
		services:           map[string]Service{},
		servers:            map[string]Server{},
		accountIDByKeyHash: map[string]string{},
		serversByService:   map[string][]Server{},
	}
	for _, a := range sortedByID(s.accounts) {
		c.addAccount(a.Value)
	}
	for _, service := range sortedByID(s.services) {
		c.addService(service.Value)
	}
	for _, server := range sortedByID(s.servers) {
		c.addServer(server.Value)
	}
	return c
}

func (c *Config) addAccount(a Account) {
	if a.Presence == PresenceRemoved {
		return
	}
	c.accounts[a.ID] = a
	c.sorted.accounts = append(c.sorted.accounts, a)
	for _, hash := range a.KeyHashes {
		c.accountIDByKeyHash[hash] = a.ID
	}
}

func (c *Config) addService(service Service) {
	if service.Presence == PresenceRemoved {
		return
	}
	c.services[service.ID] = service
	c.sorted.services = append(c.sorted.services, service)
}

func (c *Config) addServer(server Server) {
	if server.State == ServerRemoved {
		return
	}
	c.servers[server.ID] = server
	c.sorted.servers = append(c.sorted.servers, server)
	c.serversByService[server.Service] = append(c.serversByService[server.Service], server)
}

// AccountByKeyHash returns the account that holds the API key of the
// lower-case hexadecimal SHA-256.
func (c *Config) AccountByKeyHash(hash string) (Account, bool) {
	id, found := c.accountIDByKeyHash[hash]
	if !found {
		return Account{}, false
	}
	return c.Account(id)
}

// Account returns an account that is active.
func (c *Config) Account(id string) (Account, bool) {
	a, found := c.accounts[id]
	return a, found
}

// Service returns a service that is active.
func (c *Config) Service(id string) (Service, bool) {
	service, found := c.services[id]
	return service, found
}

// Server returns a backend server that is joined or leaving.
func (c *Config) Server(id string) (Server, bool) {
	server, found := c.servers[id]
	return server, found
}

// ServersOf returns the backend servers of a service that are joined or leaving.
func (c *Config) ServersOf(service string) []Server { return c.serversByService[service] }

// Accounts returns the active accounts.
func (c *Config) Accounts() []Account { return c.sorted.accounts }

// Services returns the active services.
func (c *Config) Services() []Service { return c.sorted.services }

// Servers returns the backend servers that are joined or leaving.
func (c *Config) Servers() []Server { return c.sorted.servers }
