// Package instancestest tests the contract of instances.Lister.
package instancestest

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/instances"
)

// Run tests the contract. open returns a lister of a platform whose list is content.
func Run(t *testing.T, open func(t *testing.T, content []instances.Instance) instances.Lister) {
	cases := []struct {
		name    string
		content []instances.Instance
		want    []string
	}{
		{"empty list", nil, nil},
		{"ordered by name", []instances.Instance{
			{Name: "b", Address: "127.0.0.1:2", Domain: "kyu-naka", State: instances.Leaving},
			{Name: "a", Address: "127.0.0.1:1", Domain: "kyu-kita", State: instances.Live},
		}, []string{"a", "b"}},
		{"replaced entry", []instances.Instance{
			{Name: "a", Address: "127.0.0.1:1", Domain: "kyu-kita", State: instances.Live},
			{Name: "a", Address: "127.0.0.1:9", Domain: "kyu-kita", State: instances.Leaving},
		}, []string{"a"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			list, err := open(t, test.content).List(t.Context())
			is.NoErr(err)
			is.Equal(len(list), len(test.want))
			for i, instance := range list {
				is.Equal(instance.Name, test.want[i])
				is.Equal(instance, last(test.content, instance.Name))
			}
		})
	}
	t.Run("ended context", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := open(t, nil).List(ctx)
		is.True(err != nil)
	})
}

func last(content []instances.Instance, name string) instances.Instance {
	var found instances.Instance
	for _, instance := range content {
		if instance.Name == name {
			found = instance
		}
	}
	return found
}
