// Package configsync decides how the configuration is distributed to the daemons: how often
// a daemon reads the log, which peers it sends records to, up to which time its configuration
// includes every accepted ticket, and when a state record is due. The package performs no I/O
// and uses no goroutines, locks or clock: callers pass in the time and the inputs.
package configsync
