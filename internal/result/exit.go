package result

// The exit codes of the command-line tool.
const (
	ExitOK       = 0
	ExitNotRun   = 1 // not run; the same request would be refused again
	ExitSettings = 2 // wrong flags or environment variables
	ExitPartial  = 3 // run and answered in part
	ExitUnknown  = 4 // outcome unknown; ask with the same ticket number
	ExitTryLater = 5 // not run; the same request may pass later or elsewhere
)

// firstSettingCode is the lowest number of the codes of start-up settings.
const firstSettingCode Code = 5000

// ExitCode returns the exit code of a process that ends with the result code.
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
