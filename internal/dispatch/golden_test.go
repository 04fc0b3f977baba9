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

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// goldenOptions returns a fleet of two zones with one server each, and two accounts, one of
// which sends its requests to one zone only.
func goldenOptions() dispatchsim.Options {
	fixed := func(*dispatchsim.Rand) float64 { return 100 }
	return dispatchsim.Options{
		Seed:          1,
		Scope:         dispatchsim.ScopeZone,
		Zones:         2,
		Daemons:       4,
		Servers:       []dispatchsim.Server{{Zone: 0, Slots: 1}, {Zone: 1, Slots: 1}},
		RemoteStandby: 1,
		Accounts: []dispatchsim.Account{
			{Weight: 1, Daemons: []int{0}, Outstanding: 2, Cost: fixed},
			{Weight: 2, Daemons: []int{0, 1}, Outstanding: 2, Cost: fixed},
		},
		Local:         dispatchsim.Link{Delay: time.Millisecond},
		Remote:        dispatchsim.Link{Delay: 5 * time.Millisecond},
		CostPerSecond: costPerSecond,
		Length:        5 * time.Second,
	}
}

func TestGoldenTraces(t *testing.T) {
	cases := map[string]func(f *dispatchsim.Fleet){
		"quiet":    func(*dispatchsim.Fleet) {},
		"takeover": func(f *dispatchsim.Fleet) { f.After(1500*time.Millisecond, func() { f.StartDispatcher("z0", 2) }) },
		"pause": func(f *dispatchsim.Fleet) {
			f.After(1500*time.Millisecond, func() { f.SetPaused("z1", true) })
			f.After(3500*time.Millisecond, func() { f.SetPaused("z1", false) })
		},
	}
	for name, injectFault := range cases {
		t.Run(name, func(t *testing.T) {
			var lines strings.Builder
			o := goldenOptions()
			o.Trace = func(line string) { lines.WriteString(line + "\n") }
			f := dispatchsim.New(o)
			injectFault(f)
			f.Run(time.Minute)
			file := filepath.Join("testdata", name+".golden")
			if *updateGolden {
				require.NoError(t, os.MkdirAll("testdata", 0o755))
				require.NoError(t, os.WriteFile(file, []byte(lines.String()), 0o644))
			}
			want, err := os.ReadFile(file)
			require.NoError(t, err)
			require.Equal(t, string(want), lines.String())
		})
	}
}
