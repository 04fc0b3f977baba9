package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents  = 49 // of a stream
	streamGap     = 100 * time.Millisecond
	runnerCommand = "runner-process"
)

// runStreamRunner is the main function of a runner process. It answers each request with a stream of events that has neither a length nor
// chunks and ends with its connection.
func runStreamRunner(address, id string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serveStreams(c, id)
	}
}

func serveStreams(c net.Conn, id string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(q.Body); err != nil {
			return
		}
		attempt := q.Header.Get("X-Attempt-Id")
		want := q.Header.Get("X-Expected-Instance")
		switch {
		case q.URL.Path == "/health" && (want == "" || want == id):
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		case q.URL.Path == "/api/kv-list":
			body := `{"epoch":1,"Next":0,"held":[]}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		case want != "" && want != id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		fmt.Printf("run %s\n", attempt)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Runner-Signature: s-%s-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, id, attempt)
		for n := range streamEvents {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: token %d of %s\n\n", n+1, n+1, attempt); err != nil {
				return
			}
			time.Sleep(streamGap)
		}
		fmt.Printf("end %s\n", attempt)
		return
	}
}

// processRunner is a runner in a process of its own, behind a proxy.
type processRunner struct {
	id, service, zone string
	listen            string // address of the process
	proxy             *cutProxy
	store             *store
	rec               *recorder
	cmd               *exec.Cmd

	mu       sync.Mutex
	born     int64
	sequence int
	up       bool
	runs     int
}

func (r *processRunner) runCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs
}

func startProcessRunner(rec *recorder, s *store, id, service, zone string) *processRunner {
	r := &processRunner{id: id, service: service, zone: zone, listen: addresses(1)[0], store: s, rec: rec}
	r.proxy = newCutProxy(r.listen)
	r.start()
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			r.beat()
		}
	}()
	return r
}

// start starts the process and registers it.
func (r *processRunner) start() {
	self, err := os.Executable()
	check(err)
	r.cmd = exec.Command(self, runnerCommand, r.listen, r.id)
	out, err := r.cmd.StdoutPipe()
	check(err)
	check(r.cmd.Start())
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			r.rec.logf("runner %s: %s", r.id, lines.Text())
			if strings.HasPrefix(lines.Text(), "run ") {
				r.mu.Lock()
				r.runs++
				r.mu.Unlock()
			}
		}
	}()
	for {
		if c, err := net.Dial("tcp", r.listen); err == nil {
			c.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	r.mu.Lock()
	r.born, r.sequence, r.up = time.Now().UnixMilli(), 0, true
	r.mu.Unlock()
	r.beat()
}

func (r *processRunner) kill() {
	r.mu.Lock()
	r.up = false
	r.mu.Unlock()
	r.cmd.Process.Kill()
	r.cmd.Wait()
}

func (r *processRunner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.sequence++
	value, err := json.Marshal(map[string]any{
		"Service": r.service, "Address": r.proxy.addr, "Zone": r.zone, "Version": "v1", "Slots": 64, "State": "ready",
		"ColdRemainingMs": 0, "SequenceNumber": r.sequence, "born": r.born,
	})
	check(err)
	r.store.put("keyed.servers", r.id, value)
}

// cutProxy forwards connections. While it is cut, it holds up all bytes, ends of connections and new connections, as a partition of the
// network does.
type cutProxy struct {
	addr, target string
	mu           sync.Mutex
	cut          chan struct{} // closed when the cut heals; nil while there is none
}

func newCutProxy(target string) *cutProxy {
	l := listen()
	p := &cutProxy{addr: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *cutProxy) await() {
	for {
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if cut == nil {
			return
		}
		<-cut
	}
}

func (p *cutProxy) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = make(chan struct{})
}

func (p *cutProxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.cut)
	p.cut = nil
}

func (p *cutProxy) serve(client net.Conn) {
	p.await()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	var done sync.WaitGroup
	done.Add(2)
	copyHeld := func(to, from net.Conn) {
		defer done.Done()
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			p.await()
			if n > 0 {
				if _, werr := to.Write(buffer[:n]); werr != nil {
					from.Close()
					return
				}
			}
			if err == io.EOF {
				to.(*net.TCPConn).CloseWrite()
				return
			}
			if err != nil { // a reset is passed on as one
				to.(*net.TCPConn).SetLinger(0)
				to.Close()
				return
			}
		}
	}
	go copyHeld(server, client)
	go copyHeld(client, server)
	done.Wait()
	client.Close()
	server.Close()
}
