// Package cluster starts the daemons and the stand-ins as separate processes on loopback.
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

// startTimeout bounds the time until a process has told its address.
const startTimeout = 30 * time.Second

// Process is a program that was started.
type Process struct {
	Name       string
	Address    string // that it listens on for its main clients
	ListenLine string // its first line, with all its addresses

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start runs a program and waits for its first line, "listening ADDRESS …".
func Start(name, bin string, logs io.Writer, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(bin, args...), done: make(chan struct{})}
	p.cmd.Stderr = logs
	// A Ctrl-C in the terminal is for the starter, which stops the processes in order.
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
		return nil, errors.Newf("%s did not tell its address", name)
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

// Field returns the word of the first line that follows the given word.
func (p *Process) Field(name string) string {
	fields := strings.Fields(p.ListenLine)
	for i := 0; i+1 < len(fields); i++ {
		if fields[i] == name {
			return fields[i+1]
		}
	}
	return ""
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// Freeze stops the process until Thaw.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Thaw continues a frozen process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait waits until the process has ended, and reports false after the timeout.
func (p *Process) Wait(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// ExitError returns the error with which the process ended, after Wait.
func (p *Process) ExitError() error { return p.err }

// group is a set of processes that end together.
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

// Build compiles the programs into a folder.
func Build(root, dir string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator),
		"./cmd/filbertrilld", "./cmd/filbertrillctl", "./test/standin"}
	cmd := exec.Command("go", args...)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}
