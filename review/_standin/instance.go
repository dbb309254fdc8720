package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// instance is one entry instance over its processes, with the settings that the platform
// makes of deploy/instance.ini.template.
type instance struct {
	w                         *world
	name, zone, ip            string
	callers, ready, peersPort string

	mu        sync.Mutex
	cmd       *exec.Cmd
	startedAt time.Time
	// disturbedAt is when the process was last killed or started during the day.
	disturbedAt time.Time
	ended       chan struct{}
}

func freePort(ip string) string {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "0"
	}
	defer l.Close()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

func (i *instance) start(first bool) error {
	template, err := os.ReadFile("deploy/instance.ini.template")
	if err != nil {
		return err
	}
	text := strings.NewReplacer(
		"{{node}}", i.name, "{{zone}}", i.zone, "{{first_start}}", fmt.Sprint(first), "{{limits.cpu_share}}", "0.32",
		"{{listen.front}}", i.callers, "{{listen.ready}}", i.ready, "{{ip}}", i.ip, "{{internal_port_range.0}}", i.peersPort,
		"{{platform.address}}", i.w.storeAddress, "{{bounds.grace_s}}", "6", "{{bounds.budget_ratio}}", "0.2",
		"{{bounds.budget_extra}}", "60", "{{bounds.budget_window_s}}", "10").Replace(string(template))
	path := filepath.Join(i.w.dir, i.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(i.w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	// The command of deploy/system.toml, with the settings file in a temporary folder.
	cmd := exec.Command("target/peridotmoor-entry", "--config", path)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd, i.startedAt, i.ended = cmd, time.Now(), make(chan struct{})
	if !first {
		i.disturbedAt = time.Now()
	}
	i.w.rec.log("instance %s starts", i.name)
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(i.ended)
	return nil
}

// kill ends the process with SIGKILL and starts it again after the delay.
func (i *instance) kill(restartAfter time.Duration) {
	i.mu.Lock()
	cmd, ended := i.cmd, i.ended
	i.disturbedAt = time.Now()
	i.mu.Unlock()
	i.w.rec.log("instance %s is killed", i.name)
	_ = cmd.Process.Kill()
	<-ended
	time.Sleep(restartAfter)
	if err := i.start(false); err != nil {
		i.w.fail("restart of an instance: " + err.Error())
	}
}

func (i *instance) end() {
	i.mu.Lock()
	cmd, ended := i.cmd, i.ended
	i.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
}

// inTouch reports whether nothing was done to the process in the last stable_window_s.
func (i *instance) inTouch(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return at.Sub(i.disturbedAt) >= stableWindow
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + i.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}
