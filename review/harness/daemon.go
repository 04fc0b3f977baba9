package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemonProcess is a process of the project's own program, started as in deploy/system.toml.
type daemonProcess struct {
	id, zone, settingsFile               string
	entry, readiness, control, directory string
	memoryMB                             int
	root, dir                            string
	rec                                  *record

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	retired bool // the case is over: start fails
}

// maxSeeds is the number of SeedNodes that the platform gives.
const maxSeeds = 3

// freePorts returns ports on the loopback address that no process uses now.
func freePorts(n int) ([]int, error) {
	var ports []int
	for len(ports) < n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// newDaemons writes the settings of a small deployment: a daemon for each entry of zones.
func newDaemons(root, dir string, s *store, rec *record, zones []string, memoryMB int) ([]*daemonProcess, error) {
	ports, err := freePorts(5 * len(zones))
	if err != nil {
		return nil, err
	}
	var daemons []*daemonProcess
	var seeds []string
	inZone := map[string]int{}
	for i, zone := range zones {
		p := ports[5*i:]
		inZone[zone]++
		d := &daemonProcess{
			id: fmt.Sprintf("frontend-%s-%d", zone, inZone[zone]), zone: zone, memoryMB: memoryMB, root: root, dir: dir, rec: rec,
			entry: local(p[0]), readiness: local(p[1]), control: local(p[2]), directory: local(p[3]),
		}
		daemons = append(daemons, d)
		if len(seeds) < maxSeeds {
			seeds = append(seeds, d.control)
		}
	}
	for i, d := range daemons {
		metrics := ports[5*i+4]
		d.settingsFile = filepath.Join(dir, d.id+".conf")
		lines := []string{
			"NodeName=" + d.id, "Role=router", "MachineClass=frontend", "ServedRoles=frontend,control_plane,directory",
			"IpAddress=127.0.0.1", "Zone=" + d.zone, "Region=r1",
			"ListenAddresses.Frontend=" + d.entry, "ListenAddresses.Readiness=" + d.readiness,
			"ListenAddresses.ControlPlane=" + d.control, "ListenAddresses.Directory=" + d.directory,
			fmt.Sprintf("InternalPortRange=%d,%d", metrics, metrics), "SeedNodes=" + strings.Join(seeds, ","),
			"Bootstrap=true", "Limits.CpuShare=0.4", "Limits.CpuCores=1", "Limits.MemoryMb=" + strconv.Itoa(memoryMB),
			"Limits.FileDescriptors=4100", "Limits.LinkBandwidthMbps=1000.0", "Limits.DiskMb=0", "Discovery=platform",
			"EntryPoint=directory", "HeartbeatIntervalMs=1200", "Bounds.SeedLagS=3", "Bounds.AddressReuseS=2",
			"Bounds.ContactWindowMs=3000", "Bounds.AckTimeoutMs=4000", "Bounds.CatchUpS=4", "Bounds.DrainTimeoutMs=2000",
			"Bounds.GracePeriodS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RollbackSlackMs=250",
			"Bounds.RetryBudgetRatio=0.2", "Bounds.BudgetWindowS=10", "Bounds.RetryBudgetSlack=54", "Bounds.RecoveryS=12",
			"Bounds.QuotaWindowS=4", "Bounds.ttl_max_s=5", "Platform.Address=" + s.address(), "Platform.form=log",
		}
		if err := os.WriteFile(d.settingsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return nil, err
		}
	}
	return daemons, nil
}

func local(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

// start starts the process with the run line of deploy/system.toml, in the repository's root.
func (d *daemonProcess) start() error {
	log, err := os.OpenFile(filepath.Join(d.dir, d.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/filbertrilld")
	command.Dir = d.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "FILBERTRILL_SETTINGS=" + d.settingsFile}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	exited := make(chan struct{})
	d.mu.Lock()
	if d.retired {
		d.mu.Unlock()
		return errors.New("the case is over")
	}
	if err := command.Start(); err != nil {
		d.mu.Unlock()
		return err
	}
	d.command, d.exited = command, exited
	d.mu.Unlock()
	d.rec.printf("daemon %s starts, process %d, memory limit %d MB", d.id, command.Process.Pid, d.memoryMB)
	go func() {
		err := command.Wait()
		d.rec.printf("daemon %s, process %d, has ended: %v", d.id, command.Process.Pid, err)
		close(exited)
	}()
	return nil
}

func (d *daemonProcess) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s) // it may have ended
	}
}

// running reports whether the process has not ended.
func (d *daemonProcess) running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil {
		return false
	}
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// retire ends the process for good.
func (d *daemonProcess) retire() {
	d.mu.Lock()
	d.retired = true
	d.mu.Unlock()
	d.stop()
}

// stop kills the process and waits for its end.
func (d *daemonProcess) stop() {
	d.mu.Lock()
	command, exited := d.command, d.exited
	d.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
}

func (d *daemonProcess) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.readiness + "/api/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// residentMB returns the resident memory of the process in MB without the pages of files, 0 if it has ended.
func (d *daemonProcess) residentMB() int {
	d.mu.Lock()
	command := d.command
	d.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}
