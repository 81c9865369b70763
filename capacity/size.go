package capacity

// Size is the size of a fleet and its load.
type Size struct {
	Nodes          int     `help:"VMs of the fleet." default:"890"`
	Servers        int     `help:"Backend servers." default:"12000"`
	Services       int     `help:"Services." default:"210"`
	Requests       float64 `help:"Requests a second at the peak, whole fleet." default:"190000"`
	ProtectedShare float64 `help:"Share of requests that are protected; the letters give none." default:"0.01"`
	Routes         int     `help:"Routes." default:"9200"`
	Accounts       int     `help:"Client accounts, each with one key." default:"65000"`
	ChangesPerDay  float64 `help:"Changes of the configuration a day." default:"1500"`
	Zones          int     `help:"Availability zones." default:"10"`
	RestartsPerDay float64 `help:"VMs restarted or replaced a day." default:"4200"`
}

// Today returns the size of one partner today: 48 VMs.
func Today() Size {
	return Size{
		Nodes: 48, Servers: 38, Services: 3, Requests: 1000, ProtectedShare: 0.01, Routes: 10,
		Accounts: 8, ChangesPerDay: 20, Zones: 4, RestartsPerDay: 48,
	}
}

const secondsPerDay = 86400

// driver is what a measure grows with.
type driver string

// Drivers, named as the series of scripts/slopes.sh.
const (
	driverVMs           driver = "vms"
	driverAccounts      driver = "accounts"
	driverServers       driver = "servers"
	driverRoutes        driver = "routes"
	driverKeys          driver = "keys"
	driverRequests      driver = "requests"       // a second, of one VM
	driverProtected     driver = "protected"      // a second, of one VM
	driverActive        driver = "active"         // client accounts with requests at one VM
	driverServices      driver = "services"       // services with requests at one VM
	driverChanges       driver = "changes"        // a second
	driverChangeAccount driver = "change_account" // changes a second times client accounts
)

// values returns the value of each driver.
func (s Size) values() map[driver]float64 {
	changes := s.ChangesPerDay / secondsPerDay
	requests := s.Requests / float64(s.Nodes)
	return map[driver]float64{
		driverVMs: float64(s.Nodes), driverAccounts: float64(s.Accounts), driverServers: float64(s.Servers),
		driverRoutes: float64(s.Routes), driverKeys: float64(s.Accounts),
		driverRequests:  requests,
		driverActive:    min(float64(s.Accounts), requests), // no more than one for each request of a second
		driverServices:  min(float64(s.Services), requests),
		driverProtected: requests * s.ProtectedShare,
		driverChanges:   changes, driverChangeAccount: changes * float64(s.Accounts),
	}
}
