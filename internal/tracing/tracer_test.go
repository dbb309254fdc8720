package tracing

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// span has the fields of an exported JSON line that the tests check.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ TraceID, SpanID string }
}

// Guards against the spans of two hops ending up in different traces: the next hop has
// only the traceparent.
func TestSpansOfAllHopsFormOneTrace(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	tracer, err := New(t.Context(), Config{Output: &out, Ratio: 1, Instance: "entry-1"})
	is.NoErr(err)
	ctx, entry := tracer.Start(context.Background(), "entry", "")
	parent := tracer.TraceParent(ctx)
	_, holder := tracer.Start(context.Background(), "holder", parent)
	End(holder, nil)
	End(entry, io.ErrUnexpectedEOF)
	is.NoErr(tracer.Close(t.Context()))
	var spans []span
	for lines := json.NewDecoder(&out); lines.More(); {
		var s span
		is.NoErr(lines.Decode(&s))
		spans = append(spans, s)
	}
	is.Equal(len(spans), 2)
	is.Equal(spans[0].Name, "holder")
	is.Equal(spans[0].SpanContext.TraceID, spans[1].SpanContext.TraceID)
	is.Equal(spans[0].Parent.SpanID, spans[1].SpanContext.SpanID)
}

// Guards against spans that are not sent to the configured collector.
func TestSpansAreSentToCollector(t *testing.T) {
	is := is.New(t)
	received := make(chan int, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/v1/traces" {
			received <- len(body)
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer collector.Close()
	tracer, err := New(t.Context(), Config{Endpoint: collector.URL + "/v1/traces", Ratio: 1, Instance: "entry-1"})
	is.NoErr(err)
	_, s := tracer.Start(context.Background(), "entry", "")
	End(s, nil)
	is.NoErr(tracer.Close(t.Context()))
	is.True(<-received > 0)
}

// Guards against an instance without an exporter that drops the caller's trace context.
func TestTraceIsPropagatedWithoutExporter(t *testing.T) {
	is := is.New(t)
	tracer, err := New(t.Context(), Config{})
	is.NoErr(err)
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	ctx, s := tracer.Start(context.Background(), "entry", parent)
	End(s, nil)
	is.Equal(tracer.TraceParent(ctx), parent)
	is.NoErr(tracer.Close(t.Context()))
}
