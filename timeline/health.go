package timeline

// Kinds of events about backend servers.
const (
	KindEjected          Kind = "ejected"           // all VMs stop sending requests to a server
	KindEjectionWithheld Kind = "ejection-withheld" // a server fails, but the service would fall below its floor without it
	KindProbation        Kind = "probation"         // the ejection ended, and a few requests test the server
	KindReturned         Kind = "returned"          // a server is in service again
	KindDraining         Kind = "draining"          // a server announced that it is about to stop
	KindDrainEnded       Kind = "drain-ended"       // a server no longer announces a drain
	KindPathAvoided      Kind = "path-avoided"      // one VM or zone stops sending requests to a server
	KindPathRestored     Kind = "path-back"         // that VM or zone sends requests to the server again
)
