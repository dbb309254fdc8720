package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// deployedProgram and deployedTemplate are those of deploy/system.toml.
const (
	deployedProgram  = "target/peridotmoor-entry"
	deployedTemplate = "deploy/instance.ini.template"
)

// Ports of a machine, as in the pages' example.
const (
	portReady, portFront, portPeers, portMetrics = 8640, 8641, 7620, 9464
)

// machine is one machine of the class front, with its process.
type machine struct {
	w                  *world
	name, ip, settings string
	front, ready       string
	command            *exec.Cmd
	ended              chan struct{}
	stoppedAt, endedAt time.Time
}

// addMachines adds machines, each with a loopback address of its own on which its ports are free.
func (w *world) addMachines(count int) {
	zones := []string{"leicester", "derby", "nottingham"}
	block := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
	for n := range count {
		m := &machine{w: w, name: fmt.Sprintf("front-%s-%d", zones[n%3], 1+n/3), ip: fmt.Sprintf("%s.%d", block, n+1)}
		m.front, m.ready = fmt.Sprintf("%s:%d", m.ip, portFront), fmt.Sprintf("%s:%d", m.ip, portReady)
		for _, port := range []int{portReady, portFront, portPeers, portMetrics} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", m.ip, port))
			check(err)
			check(l.Close())
		}
		m.settings = filepath.Join(w.dir, m.name+".settings")
		m.writeSettings(zones[n%3], true)
		w.machines = append(w.machines, m)
	}
	for _, m := range w.machines {
		m.start()
	}
	for _, m := range w.machines {
		m.awaitReady(15 * time.Second)
	}
	time.Sleep(2 * time.Second) // connections between machines, first plans
	w.note("%d machines are ready", count)
}

// writeSettings fills in the template of the deploy file.
func (m *machine) writeSettings(zone string, first bool) {
	text, err := os.ReadFile(deployedTemplate)
	check(err)
	filled := strings.NewReplacer(
		"{{node}}", m.name, "{{zone}}", zone, "{{first_start}}", fmt.Sprint(first), "{{limits.cpu_share}}", "0.32", "{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4100",
		"{{listen.front}}", m.front, "{{listen.ready}}", m.ready, "{{ip}}", m.ip, "{{internal_port_range.0}}", fmt.Sprint(portPeers), "{{platform.address}}", m.w.storeAddress,
		"{{bounds.grace_s}}", "6", "{{bounds.budget_ratio}}", "0.2", "{{bounds.budget_extra}}", "60", "{{bounds.budget_window_s}}", "10",
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		panic("the template has a placeholder that the stand-in does not know")
	}
	check(os.WriteFile(m.settings, []byte(filled), 0o600))
}

func (m *machine) start() {
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer log.Close()
	m.command = exec.Command(deployedProgram, "--config", m.settings)
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(m.command.Start())
	m.ended = make(chan struct{})
	go func() {
		_ = m.command.Wait() // its state tells how it ended
		m.endedAt = time.Now()
		close(m.ended)
		m.w.note("%s: its process has ended: %v", m.name, m.command.ProcessState)
	}()
}

func (m *machine) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + m.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	panic(m.name + " is not ready")
}

// stop sends SIGTERM, and SIGKILL after the grace period.
func (m *machine) stop() {
	m.stoppedAt = time.Now()
	m.w.note("%s: SIGTERM", m.name)
	_ = m.command.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-m.ended:
		case <-time.After(6 * time.Second):
			m.w.note("%s: SIGKILL", m.name)
			_ = m.command.Process.Kill()
		}
	}()
}

func (m *machine) kill() {
	if m.command == nil || m.command.Process == nil {
		return
	}
	_ = m.command.Process.Kill()
	<-m.ended
}
