package report

import "time"

// InEffect is the installation of a settings version at one instance.
type InEffect struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
}
