package servers_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"peridotmoor.org/peridotmoor/internal/backend/backendtest"
	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
	"peridotmoor.org/peridotmoor/internal/dev/ownership"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// serverControl lets the contract tests of backend.Server control one development server.
type serverControl struct {
	*servers.Server
	log *runlog.Log
}

func (p *serverControl) FailNext(fault backendtest.Fault) {
	p.Server.FailNext(servers.Fault(fault))
}

func (p *serverControl) ExecutionCount(ctx context.Context, id string) int {
	p.waitFor(ctx, func(executions []runlog.Execution) bool {
		for _, execution := range executions {
			if execution.RequestID == id && execution.End.IsZero() {
				return false
			}
		}
		return true
	})
	executions, _ := p.log.Snapshot()
	count := 0
	for _, execution := range executions {
		if execution.RequestID == id {
			count++
		}
	}
	return count
}

func (p *serverControl) Timeout(id string) time.Duration {
	executions, _ := p.log.Snapshot()
	for _, execution := range executions {
		if execution.RequestID == id {
			return time.Duration(execution.TimeoutMS) * time.Millisecond
		}
	}
	return 0
}

func (p *serverControl) WaitUntilStarted(ctx context.Context, id string) {
	p.waitFor(ctx, func(executions []runlog.Execution) bool {
		return anyMatches(executions, func(execution runlog.Execution) bool { return execution.RequestID == id })
	})
}

func (p *serverControl) WaitUntilCancelled(ctx context.Context, id string) {
	p.waitFor(ctx, func(executions []runlog.Execution) bool {
		return anyMatches(executions, func(execution runlog.Execution) bool { return execution.RequestID == id && execution.Cancelled })
	})
}

func (p *serverControl) WaitUntilBlocked(ctx context.Context) {
	select {
	case <-p.Server.BlockedCalls():
	case <-ctx.Done():
		panic("no call was blocked by the frozen server")
	}
}

func (p *serverControl) waitFor(ctx context.Context, fulfilled func([]runlog.Execution) bool) {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if err := p.log.Wait(ctx, fulfilled); err != nil {
		panic("the run log did not reach the expected state within 30 s")
	}
}

func anyMatches(executions []runlog.Execution, match func(runlog.Execution) bool) bool {
	for _, execution := range executions {
		if match(execution) {
			return true
		}
	}
	return false
}

func TestBackendContractOverHTTP(t *testing.T) {
	backendtest.Run(t, func(t *testing.T, options backendtest.Options) backendtest.Harness {
		log := runlog.New()
		server := servers.NewServer(servers.Config{
			Name:         "bosho-1",
			Service:      "bosho",
			Keyed:        options.Keyed,
			ChecksTokens: options.ChecksTokens,
			Slots:        options.Slots,
			StartWarm:    true,
		}, log, ownership.NewMonitor())
		if err := server.Start(); err != nil {
			t.Fatal(err)
		}
		client := httpbackend.New("bosho-1", server.Address(), 6)
		t.Cleanup(func() {
			server.Close()
			client.Close()
		})
		return backendtest.Harness{Server: client, Control: &serverControl{Server: server, log: log}}
	})
}
