package events

import "github.com/charmbracelet/log"

// Events of the instances of the fleet, 1500 to 1599.
var (
	InstanceState      = register(1500, "instance_state", log.InfoLevel, "The believed state of another instance has changed.")
	InstanceListFailed = register(1501, "instance_list_failed", log.WarnLevel, "The platform's list of instances could not be read; the known instances are kept.")
)
