//go:build race

package instance_test

// raceSlowdown is how many times as long code takes under the race detector: measured 7 times, for
// the configuration of 4,200 routes.
const raceSlowdown = 8
