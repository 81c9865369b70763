package timeline

// Event kinds of protected requests.
const (
	KindBucketAcquired Kind = "bucket-taken" // this agent became the owner of a bucket of claims
	KindBucketLost     Kind = "bucket-lost"  // another agent became the owner of a bucket of claims
)
