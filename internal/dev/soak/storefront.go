package soak

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// storeFront passes calls on to the store and replaces the peer addresses of the
// instances in what they write by those of the proxies in front of them. An instance
// tells others the address that it listens on, so there is no other way to put a proxy
// between two instances.
type storeFront struct {
	store http.Handler
	// proxies holds the address of the proxy by peer address.
	proxies map[string]string
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/kv-txn" {
		content, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		content = f.replace(content)
		r.Body = io.NopCloser(bytes.NewReader(content))
		r.ContentLength = int64(len(content))
		r.Header.Set("Content-Length", strconv.Itoa(len(content)))
	}
	f.store.ServeHTTP(w, r)
}

// replace replaces the addresses in the values of a transaction. What it cannot decode
// is left to the store to reject.
func (f *storeFront) replace(content []byte) []byte {
	var transaction map[string]json.RawMessage
	var puts []map[string]json.RawMessage
	if json.Unmarshal(content, &transaction) != nil || json.Unmarshal(transaction["puts"], &puts) != nil {
		return content
	}
	for _, put := range puts {
		var value []byte
		if json.Unmarshal(put["value"], &value) != nil {
			return content
		}
		for address, proxy := range f.proxies {
			value = bytes.ReplaceAll(value, []byte(strconv.Quote(address)), []byte(strconv.Quote(proxy)))
		}
		put["value"] = mustEncode(value)
	}
	transaction["puts"] = mustEncode(puts)
	return mustEncode(transaction)
}

// mustEncode encodes a value that cannot fail to encode.
func mustEncode(value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
