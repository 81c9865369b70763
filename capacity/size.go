package capacity

// Size describes the size of a fleet and its load.
type Size struct {
	Nodes          int     `help:"VMs of the fleet." default:"890"`
	Servers        int     `help:"Backend servers." default:"12000"`
	Services       int     `help:"Services." default:"210"`
	Requests       float64 `help:"Requests per second of the whole fleet at the peak." default:"190000"`
	ProtectedShare float64 `help:"Share of requests that are protected, from 0 to 1. The default is an assumption, because the requirements state no figure." default:"0.01"`
	Routes         int     `help:"Routes." default:"9200"`
	Accounts       int     `help:"Client accounts, each with one key." default:"65000"`
	ChangesPerDay  float64 `help:"Changes of the configuration per day." default:"1500"`
	Zones          int     `help:"Availability zones." default:"10"`
	RestartsPerDay float64 `help:"VMs restarted or replaced per day." default:"4200"`
}

// Today returns the present size of one partner's fleet: 48 VMs.
func Today() Size {
	return Size{
		Nodes: 48, Servers: 38, Services: 3, Requests: 1000, ProtectedShare: 0.01, Routes: 10,
		Accounts: 8, ChangesPerDay: 20, Zones: 4, RestartsPerDay: 48,
	}
}

const secondsPerDay = 86400

// driver is a quantity that a measure grows with.
type driver string

// Drivers. Each has the name of its series in scripts/slopes.sh; changes and
// change_account share the series of changes.
const (
	driverVMs           driver = "vms"
	driverAccounts      driver = "accounts"
	driverServers       driver = "servers"
	driverRoutes        driver = "routes"
	driverKeys          driver = "keys"
	driverRequests      driver = "requests"       // per second, of one VM
	driverProtected     driver = "protected"      // protected requests per second, of one VM
	driverActive        driver = "active"         // client accounts with requests at one VM
	driverServices      driver = "services"       // services with requests at one VM
	driverChanges       driver = "changes"        // per second
	driverChangeAccount driver = "change_account" // changes per second times client accounts
)

// values returns the value of each driver for the size.
func (s Size) values() map[driver]float64 {
	changes := s.ChangesPerDay / secondsPerDay
	requests := s.Requests / float64(s.Nodes)
	return map[driver]float64{
		driverVMs: float64(s.Nodes), driverAccounts: float64(s.Accounts), driverServers: float64(s.Servers),
		driverRoutes: float64(s.Routes), driverKeys: float64(s.Accounts),
		driverRequests:  requests,
		driverActive:    min(float64(s.Accounts), requests), // at most one for each request per second
		driverServices:  min(float64(s.Services), requests),
		driverProtected: requests * s.ProtectedShare,
		driverChanges:   changes, driverChangeAccount: changes * float64(s.Accounts),
	}
}
