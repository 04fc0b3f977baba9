package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// daemon is a process of the system.
type daemon struct {
	id, zone                             string
	entry, readiness, control, directory string
	storeAddr, dir, config               string
	seeds                                []string
	metrics                              string
	cmd                                  *exec.Cmd
	log                                  *os.File
	bootstrap                            bool
}

// firstPort and portCount are a range below that from which the kernel takes ports of its own choice.
const (
	firstPort = 12_000
	portCount = 18_000
)

// taken are the addresses that addresses has returned.
var taken = make(map[string]bool)

// addresses returns n free loopback addresses, other ones each time. Nothing else takes them before they are used, but another run of this
// program.
func addresses(n int) (out []string) {
	for tries := 0; len(out) < n && tries < 1000; tries++ {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			if !taken[address] {
				taken[address] = true
				out = append(out, address)
			}
		}
	}
	if len(out) < n {
		check(fmt.Errorf("only %d of %d free ports were found", len(out), n))
	}
	return out
}

func newDaemon(id, zone, dir string) *daemon {
	a := addresses(5)
	return &daemon{id: id, zone: zone, dir: dir, entry: a[0], readiness: a[1], control: a[2], directory: a[3], metrics: a[4], bootstrap: true}
}

// settings has the fields of a small deployment.
func (d *daemon) settings() string {
	_, port, _ := net.SplitHostPort(d.metrics)
	lines := []string{
		"NodeName=" + d.id, "Role=router", "MachineClass=frontend", "ServedRoles=frontend,control_plane,directory", "IpAddress=127.0.0.1",
		"Zone=" + d.zone, "Region=r", "Zones.za=r", "Zones.zb=r", "Zones.zc=r",
		"ListenAddresses.Frontend=" + d.entry, "ListenAddresses.Readiness=" + d.readiness,
		"ListenAddresses.ControlPlane=" + d.control, "ListenAddresses.Directory=" + d.directory,
		"InternalPortRange=" + port + "," + port, "SeedNodes=" + strings.Join(d.seeds, ","),
		fmt.Sprintf("Bootstrap=%v", d.bootstrap), "FailureCounted=false",
		"Limits.CpuShare=0.4", "Limits.CpuCores=1", "Limits.MemoryMb=284", "Limits.FileDescriptors=4100", "Limits.LinkBandwidthMbps=1000.0", "Limits.DiskMb=0",
		"Discovery=platform", "EntryPoint=directory", "HeartbeatIntervalMs=1200",
		"Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"FaultTolerance.MachineFailures=2", "FaultTolerance.Zones=0", "FaultTolerance.RegionFailures=0",
		"Bounds.SeedLagS=3", "Bounds.AddressReuseS=2", "Bounds.ContactWindowMs=3000", "Bounds.AckTimeoutMs=4000", "Bounds.CatchUpS=4",
		"Bounds.DrainTimeoutMs=2000", "Bounds.GracePeriodS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RollbackSlackMs=250",
		"Bounds.MaxExtensionMs=5000", "Bounds.StrictRevocation=false", "Bounds.RevocationMs=5000", "Bounds.RetryBudgetRatio=0.2",
		"Bounds.BudgetWindowS=10", "Bounds.RetryBudgetSlack=54", "Bounds.RecoveryS=12", "Bounds.PassMs=120", "Bounds.ReuseWindowS=10",
		"Bounds.QuotaWindowS=4", "Bounds.ttl_max_s=5",
		"Platform.Address=" + d.storeAddr, "Platform.form=log", "Platform.WritesPerS=400", "Platform.ReadsPerS=2000", "Platform.parts=12",
		"Platform.AppendMs=2.0", "Platform.PartitionMbS=20.0", "Platform.ReadMbS=80.0", "Platform.RecordBytes=262144", "Platform.CallBytes=2097152",
		"Platform.keep_s=300", "Platform.PartitionMb=200", "Platform.TtlMinMs=1000",
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process as the deploy file says: target/filbertrilld in the repository's root.
func (d *daemon) start() {
	d.config = filepath.Join(d.dir, d.id+".conf")
	check(os.WriteFile(d.config, []byte(d.settings()), 0o600))
	log, err := os.OpenFile(filepath.Join(d.dir, d.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	d.log = log
	d.cmd = exec.Command("target/filbertrilld")
	d.cmd.Dir = root
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FILBERTRILL_SETTINGS=" + d.config}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	check(d.cmd.Start())
}

func (d *daemon) signal(s os.Signal) { check(d.cmd.Process.Signal(s)) }

func (d *daemon) end() {
	if d.cmd != nil && d.cmd.Process != nil {
		d.cmd.Process.Kill()
		d.cmd.Wait()
		d.log.Close()
	}
}

// awaitReady waits until the daemon answers its readiness check with 200.
func (d *daemon) awaitReady() bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r, err := quick.Get("http://" + d.readiness + "/api/readiness"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				return true
			}
		}
	}
	return false
}
