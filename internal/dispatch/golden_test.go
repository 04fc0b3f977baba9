package dispatch_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/dispatchsim"
)

var update = flag.Bool("update", false, "write the golden files anew")

// session is two zones with a server each, and two accounts of which one calls one zone only.
func session() dispatchsim.Options {
	fixed := func(*dispatchsim.Rand) float64 { return 100 }
	return dispatchsim.Options{
		Seed:       1,
		Scope:      dispatchsim.ScopeZone,
		Zones:      2,
		Daemons:    4,
		Servers:    []dispatchsim.Server{{Zone: 0, Slots: 1}, {Zone: 1, Slots: 1}},
		HopStandby: 1,
		Accounts: []dispatchsim.Account{
			{Weight: 1, Daemons: []int{0}, Outstanding: 2, Cost: fixed},
			{Weight: 2, Daemons: []int{0, 1}, Outstanding: 2, Cost: fixed},
		},
		Local:         dispatchsim.Link{Delay: time.Millisecond},
		Remote:        dispatchsim.Link{Delay: 5 * time.Millisecond},
		CostPerSecond: rate,
		Length:        5 * time.Second,
	}
}

func TestGoldenSessions(t *testing.T) {
	cases := map[string]func(f *dispatchsim.Fleet){
		"quiet":    func(*dispatchsim.Fleet) {},
		"takeover": func(f *dispatchsim.Fleet) { f.After(1500*time.Millisecond, func() { f.StartDispatcher("z0", 2) }) },
		"pause": func(f *dispatchsim.Fleet) {
			f.After(1500*time.Millisecond, func() { f.SetPaused("z1", true) })
			f.After(3500*time.Millisecond, func() { f.SetPaused("z1", false) })
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			var lines strings.Builder
			o := session()
			o.Trace = func(line string) { lines.WriteString(line + "\n") }
			f := dispatchsim.New(o)
			fault(f)
			f.Run(time.Minute)
			file := filepath.Join("testdata", name+".golden")
			if *update {
				require.NoError(t, os.MkdirAll("testdata", 0o755))
				require.NoError(t, os.WriteFile(file, []byte(lines.String()), 0o644))
			}
			want, err := os.ReadFile(file)
			require.NoError(t, err)
			require.Equal(t, string(want), lines.String())
		})
	}
}
