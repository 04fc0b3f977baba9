package daemon

import (
	"io"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/filbertrill/filbertrill/internal/result"
)

// envPrefix is the prefix of the daemon's environment variables.
const envPrefix = "FILBERTRILL_"

// ParseSettings parses the settings from the arguments, and checks that environ, a list of
// NAME=VALUE entries, has no unknown variable with envPrefix. The values of variables are read
// from the environment of the process. For --help it writes the help text to out and calls exit.
// It returns a result error for an unknown, missing or invalid setting.
func ParseSettings(args, environ []string, out io.Writer, exit func(int)) (Settings, error) {
	var s Settings
	parser, err := kong.New(&s,
		kong.Name("filbertrilld"),
		kong.Description("Router daemon of filbertrill. Every flag has an environment variable; the flag takes precedence."),
		kong.Writers(out, out),
		kong.Exit(exit),
	)
	if err != nil {
		return Settings{}, result.Wrap(err, result.SettingInvalid, "build the command-line parser")
	}
	if err := checkEnvironment(parser.Model.Node, environ); err != nil {
		return Settings{}, err
	}
	if _, err := parser.Parse(args); err != nil {
		return Settings{}, result.New(parseErrorCode(err), "%v", err)
	}
	return s, s.Check()
}

// parseErrorCode derives the result code from the text of a kong error; kong has no error codes.
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

// checkEnvironment returns an error for a variable with envPrefix that belongs to no setting,
// in order to detect misspelled names.
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

// ctlVariables holds the variables of filbertrillctl that may be set in the same environment.
var ctlVariables = map[string]bool{
	envPrefix + "DAEMON": true,
}
