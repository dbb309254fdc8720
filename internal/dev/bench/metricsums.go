package bench

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/programs"
)

// Metrics of the routers that the figures include.
const (
	metricBytes    = "peridotmoor_control_bytes_total"
	metricMessages = "peridotmoor_control_messages_total"
	metricStore    = "peridotmoor_store_calls_total"
)

// metricSums maps the metrics of one router to their sums over all labels.
type metricSums map[string]float64

// fetchMetrics reads the metrics from the operators' endpoint of a router.
func fetchMetrics(ctx context.Context, operators string) (metricSums, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	response, err := programs.HTTPClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	return parseMetrics(string(content))
}

// parseMetrics parses the Prometheus text format. It sums the samples of each metric,
// and also those of each message or store call, under "metric/message" or "metric/call".
func parseMetrics(text string) (metricSums, error) {
	sums := metricSums{}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		split := strings.LastIndexByte(line, ' ')
		value, err := strconv.ParseFloat(line[split+1:], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "metrics line %q", line)
		}
		name, labels, _ := strings.Cut(line[:max(split, 0)], "{")
		sums[name] += value
		for _, label := range []string{"message", "call"} {
			if detail := labelValue(labels, label); detail != "" {
				sums[name+"/"+detail] += value
			}
		}
	}
	return sums, nil
}

// labelValue returns the value of a label, or "" if it is missing.
func labelValue(labels, name string) string {
	_, rest, found := strings.Cut(labels, name+`="`)
	if !found {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}
