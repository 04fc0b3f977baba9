// Package configsync holds the pure decisions on how the configuration spreads over the
// daemons: who reads the log, whom a daemon tells, when a daemon surely knows every
// accepted ticket, and when a state record is due. It has no socket, goroutine, lock or
// clock: callers pass the time and the facts.
package configsync
