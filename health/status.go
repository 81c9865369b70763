package health

import (
	"time"

	"lacewingmount.dev/wire"
)

// ServiceStatus describes a service as one VM uses it.
type ServiceStatus struct {
	Name     string         `json:"name"`
	Floor    int            `json:"floor"`
	Capacity int            `json:"capacity"` // servers in full service
	Home     string         `json:"home"`     // VM whose verdicts are followed
	Current  bool           `json:"current"`  // whether its last verdict still holds
	Servers  []ServerStatus `json:"servers"`
}

// ServerStatus describes one server as one VM uses it.
type ServerStatus struct {
	Name     string           `json:"name"`
	State    wire.ServerState `json:"state,omitempty"` // by the home's verdict
	Draining bool             `json:"draining,omitempty"`
	Usable   bool             `json:"usable"`
	Suspect  bool             `json:"suspect,omitempty"`
	Avoided  bool             `json:"avoided,omitempty"` // by the VM's own requests or its zone's
	Weight   float64          `json:"weight"`
	InFlight int              `json:"in_flight,omitempty"`
	Latency  float64          `json:"latency,omitempty"` // mean, seconds
}

// Status describes the service for operators.
func (v *View) Status(now time.Time) ServiceStatus {
	status := ServiceStatus{
		Name: v.service.Name, Floor: v.service.Floor, Home: v.verdict.owner, Current: now.Before(v.expires),
	}
	for i, eligibility := range v.Standings(now) {
		s := v.servers[i]
		if eligibility.Usable && eligibility.Full {
			status.Capacity++
		}
		status.Servers = append(status.Servers, ServerStatus{
			Name: s.Name, State: s.ownerVerdict.State, Draining: s.isDraining(), Usable: eligibility.Usable, Suspect: eligibility.Suspect,
			Avoided: now.Before(s.avoidUntil) || len(s.ownerVerdict.Avoid) > 0, Weight: eligibility.Weight,
			InFlight: len(s.attempts), Latency: s.latency,
		})
	}
	return status
}
