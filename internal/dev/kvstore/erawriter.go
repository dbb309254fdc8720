package kvstore

import (
	"net/http"
	"strconv"

	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// headerEra is set in all responses once the store has come back from a copy.
const headerEra = "Store-Era"

// eraWriter sets the era of the store in the head of a response.
type eraWriter struct {
	http.ResponseWriter
	store *memstore.Store
}

// WriteHeader implements http.ResponseWriter. Each response begins with it.
func (w eraWriter) WriteHeader(status int) {
	if era := w.store.Era(); era > 0 {
		w.Header().Set(headerEra, strconv.FormatUint(era, 10))
	}
	w.ResponseWriter.WriteHeader(status)
}
