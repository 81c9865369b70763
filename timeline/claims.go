package timeline

// Event kinds of protected requests.
const (
	KindBucketTaken Kind = "bucket-taken" // this agent owns a bucket of claims now
	KindBucketLost  Kind = "bucket-lost"  // another agent took a bucket of claims over
)
