package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// lastTenant removes the only tenant, and with it the last key, from the configuration. Requests with that key, and with one that no
// configuration ever held, must not run behind the bound.
func lastTenant(f *fleet) bool {
	rec := f.rec
	s := newStore()
	for i, zone := range []string{"za", "zb", "zc"} {
		startRunner(rec, s, fmt.Sprintf("i-%d", i+1), "cert-registry", zone, 15*time.Millisecond)
	}
	const key, madeUp = "k7b2ex5wa5xwyhks8nbk", "no-configuration-holds-this"
	routes := []map[string]any{route("serial", "/serial/", "non_idempotent", "cert-registry", 1, 800)}
	services := []string{"cert-registry"}
	s.put("keyed.op", "config", configRecord(7, routes, services, key))
	f.startDaemons(s)
	var clients []*client
	for _, d := range f.daemons {
		clients = append(clients, newClient(rec, d.entry))
	}
	// try sends a request with the key to each daemon, and returns how many ran.
	try := func(key string) (ran int) {
		for _, c := range clients {
			id := newID()
			c.send("POST", "/serial/x", id, key, 1500*time.Millisecond)
			for _, r := range rec.runsOf(id) {
				ran++
				rec.logf("%s with key %q has run at %s for tenant %q", id, key, r.runner, r.tenant)
			}
		}
		return ran
	}
	rec.logf("configuration 7: %d of %d requests with the key run, %d with a key that no configuration held", try(key), len(clients), try(madeUp))
	ran := 0
	if trouble {
		var c map[string]any
		check(json.Unmarshal(configRecord(9, routes, services, key), &c))
		c["Tenants"] = []any{}
		value, err := json.Marshal(c)
		check(err)
		acked := s.put("keyed.op", "config", value)
		rec.logAt(acked, "configuration 9 acknowledged, without the only tenant: %s", value)
		time.Sleep(time.Until(acked.Add(5 * time.Second))) // the bound is 2 s
		ran = try(key)
		rec.logf("configuration 9: %d of %d requests with the removed key run", ran, len(clients))
	}
	time.Sleep(time.Second)
	ranMadeUp := try(madeUp)
	rec.logf("%d of %d requests with a key that no configuration held run", ranMadeUp, len(clients))
	return ran > 0 || ranMadeUp > 0
}
