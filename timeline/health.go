package timeline

// Kinds of events about backend servers.
const (
	KindEjected          Kind = "ejected"
	KindEjectionWithheld Kind = "ejection-withheld"
	KindProbation        Kind = "probation"
	KindReturned         Kind = "returned"
	KindDraining         Kind = "draining"
	KindDrainEnded       Kind = "drain-ended"
	KindPathAvoided      Kind = "path-avoided"
	KindPathBack         Kind = "path-back"
)
