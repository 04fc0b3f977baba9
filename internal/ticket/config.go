package ticket

// Config is an immutable view of the objects that are not removed. It is safe
// for concurrent use. Callers must not modify the slices that it returns.
type Config struct {
	accounts           map[string]Account
	services           map[string]Service
	servers            map[string]Server
	accountIDByKeyHash map[string]string // by lower-case hexadecimal SHA-256
	serversByService   map[string][]Server
	sorted             sortedObjects
}

// sortedObjects holds the objects sorted by ID.
type sortedObjects struct {
	accounts []Account
	services []Service
	servers  []Server
}

// Config returns a view of the objects that are not removed. The view is cached
// until the objects change.
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

// AccountByKeyHash returns the active account that holds the API key with the
// given lower-case hexadecimal SHA-256.
func (c *Config) AccountByKeyHash(hash string) (Account, bool) {
	id, found := c.accountIDByKeyHash[hash]
	if !found {
		return Account{}, false
	}
	return c.Account(id)
}

// Account returns the active account with the ID.
func (c *Config) Account(id string) (Account, bool) {
	a, found := c.accounts[id]
	return a, found
}

// Service returns the active service with the ID.
func (c *Config) Service(id string) (Service, bool) {
	service, found := c.services[id]
	return service, found
}

// Server returns the backend server with the ID if it is joined or leaving.
func (c *Config) Server(id string) (Server, bool) {
	server, found := c.servers[id]
	return server, found
}

// ServersOf returns the joined and leaving backend servers of a service, sorted by ID.
func (c *Config) ServersOf(service string) []Server { return c.serversByService[service] }

// Accounts returns the active accounts, sorted by ID.
func (c *Config) Accounts() []Account { return c.sorted.accounts }

// Services returns the active services, sorted by ID.
func (c *Config) Services() []Service { return c.sorted.services }

// Servers returns the joined and leaving backend servers, sorted by ID.
func (c *Config) Servers() []Server { return c.sorted.servers }
