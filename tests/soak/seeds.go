package main

// failedSeeds holds the seeds of runs that have failed, with the causes. The flag -failed
// reruns these seeds.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{
	{410, "fault of the check: a host that had started 0.2 s before a configuration change applied the change 0.64 s after it, within the bound, and answered 404 until then"},
}
