package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// oddEntryCount is how many odd entries stand among those of the backend servers at a time.
const oddEntryCount = 6

// nestedMark stands for the value of nested, which is too deep for the encoder as well.
const nestedMark = "nested"

var nested = strings.Repeat("[", 20000) + strings.Repeat("]", 20000)

// oddEntries makes entries of the server list that another program has written and that
// name no server. Those with an address that exists name a listener that must get no connection.
type oddEntries struct {
	listener net.Listener

	mu          sync.Mutex
	random      *rand.Rand
	connections []string
}

// newOddEntries listens until Close.
func newOddEntries(seed uint64) (*oddEntries, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listener of the odd entries")
	}
	o := &oddEntries{listener: listener, random: rand.New(rand.NewPCG(seed, 3))}
	go o.accept()
	return o, nil
}

func (o *oddEntries) accept() {
	for {
		conn, err := o.listener.Accept()
		if err != nil {
			return
		}
		o.mu.Lock()
		o.connections = append(o.connections, "a connection to the address of an odd entry from "+conn.RemoteAddr().String())
		o.mu.Unlock()
		_ = conn.Close()
	}
}

// seen describes the connections to the listener.
func (o *oddEntries) seen() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string{}, o.connections...)
}

func (o *oddEntries) Close() error {
	return o.listener.Close()
}

// next returns the content of an odd entry.
func (o *oddEntries) next() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	address, host := o.listener.Addr().String(), "127.0.0.1"
	info := map[string]any{"service": services[o.random.IntN(len(services))], "zone": domainName(o.random.IntN(domainCount)), "slots": slotsPerServer, "version": "1"}
	status := map[string]any{"state": "ready", "sequence": o.random.IntN(100), "cold_remaining_s": 0.0}
	entry := map[string]any{"address": address, "born": 1700000000000, "info": info, "status": status}
	switch o.random.IntN(16) {
	case 0:
		entry["address"] = host + ":99999"
	case 1:
		entry["address"] = host + ":-1"
	case 2:
		entry["address"] = host
	case 3:
		entry["address"] = address + "\r\nX-Injected: 1"
	case 4:
		entry["address"] = nestedMark
	case 5:
		info["slots"] = json.Number("9223372036854775807")
	case 6:
		info["slots"] = json.Number("9223372036854775808")
	case 7:
		info["slots"] = json.Number(fmt.Sprint(1<<32 + slotsPerServer))
	case 8:
		info["service"] = nestedMark
	case 9:
		info["zone"] = ""
	case 10:
		status["cold_remaining_s"] = json.Number("1e300")
	case 11:
		status["cold_remaining_s"] = json.Number("1e400")
	case 12:
		status["sequence"] = json.Number("1e30")
	case 13:
		entry["born"] = json.Number("-1")
	case 14:
		status["state"] = "resting"
	default:
		return []byte(nested)
	}
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return bytes.ReplaceAll(text, []byte(`"`+nestedMark+`"`), []byte(nested))
}

// spoiledValue returns what another program leaves at a key of the system or its operators.
func (o *oddEntries) spoiledValue() []byte {
	values := []string{
		"", "{", "null", `{"epoch":9223372036854775807,"holder":"x","version":1e30}`, `{"epoch":-1,"version":-1,"name":"x","incarnation":"y","address":"127.0.0.1:99999"}`,
		strings.Repeat(`{"a":`, 20000),
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return []byte(values[o.random.IntN(len(values))])
}
