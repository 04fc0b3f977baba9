// Package cluster runs daemons and stand-ins of their dependencies as separate processes on
// loopback, and injects network faults between them.
package cluster

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// startTimeout bounds the time until a process prints its listening line.
const startTimeout = 30 * time.Second

// Process is a started program.
type Process struct {
	Name       string
	Address    string // address for its main clients, the first on ListenLine
	ListenLine string // first line of its output, with all its addresses

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start starts a program and waits for the first line of its standard output, which must read
// "listening ADDRESS …". Its standard error goes to logs.
func Start(name, bin string, logs io.Writer, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(bin, args...), done: make(chan struct{})}
	p.cmd.Stderr = logs
	// Keep Ctrl-C in the terminal from reaching the child: the parent stops its processes in order.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	firstLine := make(chan string, 1)
	go p.watch(out, firstLine)
	select {
	case p.ListenLine = <-firstLine:
	case <-time.After(startTimeout):
	}
	fields := strings.Fields(p.ListenLine)
	if len(fields) < 2 || fields[0] != "listening" {
		p.Kill()
		return nil, errors.Newf("process %s did not print its listening address", name)
	}
	p.Address = fields[1]
	return p, nil
}

func (p *Process) watch(out io.Reader, firstLine chan<- string) {
	scanner := bufio.NewScanner(out)
	scanner.Scan()
	firstLine <- scanner.Text()
	_, _ = io.Copy(io.Discard, out)
	p.err = p.cmd.Wait()
	close(p.done)
}

// Field returns the word after the given name on ListenLine, or "" if the name is missing.
func (p *Process) Field(name string) string {
	fields := strings.Fields(p.ListenLine)
	for i := 0; i+1 < len(fields); i++ {
		if fields[i] == name {
			return fields[i+1]
		}
	}
	return ""
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// Pause stops the process with SIGSTOP until Resume.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait waits until the process has exited and returns true, or false after the timeout.
func (p *Process) Wait(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// ExitError returns the error of exec.Cmd.Wait. It is valid once Wait has returned true.
func (p *Process) ExitError() error { return p.err }

// group is a set of processes that are killed together.
type group struct {
	mu        sync.Mutex
	processes []*Process
}

func (g *group) add(p *Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.processes = append(g.processes, p)
}

func (g *group) killAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.processes {
		p.Kill()
	}
}

// Build compiles the daemon, filbertrillctl and the stand-in of the module at root into dir.
func Build(root, dir string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator),
		"./cmd/filbertrilld", "./cmd/filbertrillctl", "./test/standin"}
	cmd := exec.Command("go", args...)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}
