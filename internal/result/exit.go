package result

// Exit codes of the command-line tool.
const (
	ExitOK       = 0
	ExitNotRun   = 1 // not run; a retry would be refused as well
	ExitSettings = 2 // wrong flags or environment variables
	ExitPartial  = 3 // run and partly answered
	ExitUnknown  = 4 // outcome unknown; retry with the same ticket number
	ExitTryLater = 5 // not run; a retry may succeed later or at another daemon
)

// firstSettingCode is the lower bound of the codes of startup settings.
const firstSettingCode Code = 5000

// ExitCode returns the process exit code for a result code.
func ExitCode(c Code) int {
	if c >= firstSettingCode {
		return ExitSettings
	}
	switch c.Class() {
	case Done:
		return ExitOK
	case Partial:
		return ExitPartial
	case Unknown:
		return ExitUnknown
	}
	if c.Retryable() {
		return ExitTryLater
	}
	return ExitNotRun
}
