package daemon

import (
	"io"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/filbertrill/filbertrill/internal/result"
)

// envPrefix begins the name of every environment variable of the daemon.
const envPrefix = "FILBERTRILL_"

// ParseSettings reads the settings from the arguments and from environ, which holds
// entries of the form NAME=VALUE. It writes help texts to out and calls exit after one.
// It returns a result error for an unknown, missing or malformed setting.
func ParseSettings(args, environ []string, out io.Writer, exit func(int)) (Settings, error) {
	var s Settings
	parser, err := kong.New(&s,
		kong.Name("filbertrilld"),
		kong.Description("Router daemon of filbertrill. Every flag has an environment variable; the flag goes first."),
		kong.Writers(out, out),
		kong.Exit(exit),
	)
	if err != nil {
		return Settings{}, result.Wrap(err, result.SettingInvalid, "settings are not well defined")
	}
	if err := checkEnvironment(parser.Model.Node, environ); err != nil {
		return Settings{}, err
	}
	if _, err := parser.Parse(args); err != nil {
		return Settings{}, result.New(parseErrorCode(err), "%v", err)
	}
	return s, s.Check()
}

func parseErrorCode(err error) result.Code {
	message := err.Error()
	switch {
	case strings.HasPrefix(message, "unknown flag"), strings.HasPrefix(message, "unexpected argument"):
		return result.SettingUnknown
	case strings.HasPrefix(message, "missing flags"):
		return result.SettingMissing
	}
	return result.SettingInvalid
}

// checkEnvironment refuses variables of the daemon's prefix that name no setting, which
// finds misspelled ones.
func checkEnvironment(model *kong.Node, environ []string) error {
	known := map[string]bool{}
	for _, flag := range model.Flags {
		for _, name := range flag.Envs {
			known[name] = true
		}
	}
	for _, entry := range environ {
		name, _, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, envPrefix) && !known[name] && !ctlVariables[name] {
			return result.New(result.SettingUnknown, "unknown environment variable %s", name)
		}
	}
	return nil
}

// toolVariables are those of filbertrillctl, which may stand in the same environment.
var ctlVariables = map[string]bool{
	envPrefix + "DAEMON": true,
}
