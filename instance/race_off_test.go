//go:build !race

package instance_test

// raceSlowdown is how many times as long code takes under the race detector.
const raceSlowdown = 1
