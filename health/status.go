package health

import (
	"time"

	"lacewingmount.dev/wire"
)

// ServiceStatus is the state of a service as one VM uses it.
type ServiceStatus struct {
	Name     string         `json:"name"`
	Floor    int            `json:"floor"`
	Capacity int            `json:"capacity"` // servers in full service
	Owner    string         `json:"home"`     // owner whose verdicts the VM applies
	Current  bool           `json:"current"`  // whether its last verdict has not expired
	Servers  []ServerStatus `json:"servers"`
}

// ServerStatus is the state of one server as one VM uses it.
type ServerStatus struct {
	Name     string           `json:"name"`
	State    wire.ServerState `json:"state,omitempty"` // from the owner's verdict
	Draining bool             `json:"draining,omitempty"`
	Usable   bool             `json:"usable"`
	Suspect  bool             `json:"suspect,omitempty"`
	Avoided  bool             `json:"avoided,omitempty"` // because of the VM's own requests or those of a zone
	Weight   float64          `json:"weight"`
	InFlight int              `json:"in_flight,omitempty"`
	Latency  float64          `json:"latency,omitempty"` // mean, seconds
}

// Status returns the state of the service, for operators.
func (v *View) Status(now time.Time) ServiceStatus {
	status := ServiceStatus{
		Name: v.service.Name, Floor: v.service.Floor, Owner: v.verdict.owner, Current: now.Before(v.expires),
	}
	for i, eligibility := range v.Eligibilities(now) {
		s := v.servers[i]
		if eligibility.Usable && eligibility.FullCapacity {
			status.Capacity++
		}
		status.Servers = append(status.Servers, ServerStatus{
			Name: s.Name, State: s.ownerVerdict.State, Draining: s.isDraining(), Usable: eligibility.Usable, Suspect: eligibility.Suspect,
			Avoided: now.Before(s.avoidUntil) || len(s.ownerVerdict.AvoidingZones) > 0, Weight: eligibility.Weight,
			InFlight: len(s.attempts), Latency: s.latency,
		})
	}
	return status
}
