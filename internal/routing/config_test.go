package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func buildTestConfig(t *testing.T) *Config {
	t.Helper()
	to := func(service string) []Target { return []Target{{service, 1}} }
	c, err := Build(Config{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Targets: to("one")},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: to("two")},
			{Name: "split", Host: "b.example", Prefix: "/", Targets: []Target{{"one", 90}, {"two", 10}}},
		},
		Accounts: []Account{{Name: "acme", Keys: []string{"k1", "k2"}}},
	})
	require.NoError(t, err)
	return c
}

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	c := buildTestConfig(t)
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y": "short"} {
		got := c.Match("A.example", path)
		require.NotNil(t, got, path)
		assert.Equal(t, want, got.Name)
	}
	assert.Nil(t, c.Match("a.example", "/z/"))
	assert.Nil(t, c.Match("c.example", "/x/1"))
	assert.Equal(t, "split", c.Match("b.example:8080", "/x/1").Name)
}

func TestAccountByKey(t *testing.T) {
	c := buildTestConfig(t)
	assert.Equal(t, "acme", c.AccountByKey("k2").Name)
	assert.Nil(t, c.AccountByKey("k3"))
	assert.Nil(t, c.AccountByKey(""))
}

func TestChooseServiceByWeight(t *testing.T) {
	r := buildTestConfig(t).Match("b.example", "/")
	count := map[string]int{}
	for i := range 10_000 {
		count[r.ChooseService(string(rune('a'+i%26))+string(rune(i)))]++
	}
	assert.InDelta(t, 9000, count["one"], 300)
	assert.Equal(t, r.ChooseService("id"), r.ChooseService("id"))
}

func TestBuildRejectsRouteWithoutTarget(t *testing.T) {
	_, err := Build(Config{Routes: []Route{{Name: "r"}}})
	assert.ErrorContains(t, err, `"r"`)
}
