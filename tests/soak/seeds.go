package main

// failedSeeds are the seeds that ever failed, with the cause. -failed plays them again.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{
	{410, "the check's: a host that had started 0.2 s before a change had it 0.64 s later, inside the bound, and answered 404 till then"},
}
